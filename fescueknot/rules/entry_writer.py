"""Writes one log entry, and resolves writes whose outcome is unknown."""

from fescueknot.objectapi import errors as store_errors
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules.errors import ApplyUnknown, LogUnavailable, RaceLost
from fescueknot.rules.log_entry import (
    LogEntry,
    decode_log_message,
    encode_log_message,
)
from fescueknot.rules.log_view import LogLayout, LogView

_MAX_ATTEMPTS = 3


class EntryWriter:
    """Writes ``entry``, which follows the head of ``view``, at most once.

    If the answer to a write is lost, the slot is read back and the change ids
    are compared. If the slot is unchanged, the same conditional write is
    repeated.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        view: LogView,
        entry: LogEntry,
        layout: LogLayout,
    ) -> None:
        self._store = store
        self._entry = entry
        self._key = layout.entry_key(entry.version)
        self._store_version = view.store_versions.get(self._key)
        self._may_be_written = False

    def write(self) -> None:
        """Write the entry; return once it has been accepted.

        Raises ``RaceLost`` if another change has taken the version,
        ``LogUnavailable`` if nothing was written, and ``ApplyUnknown`` if the
        write may have taken effect and can't be read back.
        """
        for _ in range(_MAX_ATTEMPTS):
            if self._attempt():
                return
        raise self._unknown_error()

    def _attempt(self) -> bool:
        try:
            self._write_entry()
        except store_errors.OutcomeUnknown:
            self._may_be_written = True
            return self._is_written()
        except (store_errors.Conflict, store_errors.NotFound):
            return self._is_written() or self._raise_race_lost()
        except store_errors.ObjectApiError as error:
            if self._may_be_written:
                raise self._unknown_error() from error
            raise LogUnavailable(str(error)) from error
        return True

    def _write_entry(self) -> None:
        encoded = encode_log_message(self._entry)
        if self._store_version is None:
            self._store.create(self._key, encoded)
        else:
            self._store.update(self._key, encoded, self._store_version)

    def _is_written(self) -> bool:
        """Read the slot back; return whether it holds this entry.

        Raises ``RaceLost`` if it holds another change of the same version.
        """
        stored_entry = self._read_back()
        if stored_entry is None or stored_entry.version < self._entry.version:
            return False
        if stored_entry.change_id == self._entry.change_id:
            return True
        if stored_entry.version == self._entry.version:
            raise RaceLost(
                f'{stored_entry.author} changed the rules to version '
                f'{stored_entry.version} first '
                f'(change {stored_entry.change_id})'
            )
        return False

    def _read_back(self) -> LogEntry | None:
        try:
            stored = self._store.get(self._key)
        except store_errors.NotFound:
            return None
        except store_errors.ObjectApiError as error:
            if self._may_be_written:
                raise self._unknown_error() from error
            return None
        stored_entry = decode_log_message(stored.value)
        return stored_entry if isinstance(stored_entry, LogEntry) else None

    def _raise_race_lost(self) -> bool:
        if self._may_be_written:
            raise self._unknown_error()
        raise RaceLost(
            f'another change took version {self._entry.version} first'
        )

    def _unknown_error(self) -> ApplyUnknown:
        return ApplyUnknown(
            f'version {self._entry.version} may or may not be accepted '
            f'(change {self._entry.change_id}); apply the same file again'
        )
