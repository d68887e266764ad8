"""Restores the rules log of a store that has lost its state.

The rules come from a node that has them in force. Versions must continue from
that of the nodes; otherwise nodes would ignore later changes as older ones.
"""

from fescueknot.objectapi import errors as store_errors
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules.errors import (
    ApplyUnknown,
    BaseMoved,
    LogUnavailable,
    RaceLost,
)
from fescueknot.rules.log_entry import (
    Snapshot,
    encode_log_message,
    head_of,
)
from fescueknot.rules.log_view import RULES_PREFIX, LogView, view_of


class LogRestorer:
    """Writes a node's snapshot as the head of a log that is older."""

    def __init__(self, *, store: ObjectStore) -> None:
        self._store = store

    def restore(self, snapshot: Snapshot) -> None:
        """Make ``snapshot`` the head of the log; can safely be repeated.

        Raises ``BadSnapshot``, ``BaseMoved`` if the log isn't older,
        ``RaceLost``, ``LogUnavailable``, ``LogBroken`` and ``ApplyUnknown``.
        """
        head_of(snapshot)
        try:
            self._write(snapshot)
        except store_errors.Conflict as error:
            raise RaceLost('the log has been changed; try again') from error
        except store_errors.OutcomeUnknown as error:
            raise ApplyUnknown(
                'the answer of the store was lost; try again'
            ) from error
        except store_errors.ObjectApiError as error:
            raise LogUnavailable(str(error)) from error

    def _write(self, snapshot: Snapshot) -> None:
        view = self._read_outdated_log(snapshot)
        key = view.next_snapshot_key()
        store_version = view.store_versions.get(key)
        encoded = encode_log_message(snapshot)
        if store_version is None:
            self._store.create(key, encoded)
        else:
            self._store.update(key, encoded, store_version)

    def _read_outdated_log(self, snapshot: Snapshot) -> LogView:
        view = view_of(self._store.list(RULES_PREFIX))
        if view.head.version >= snapshot.version:
            raise BaseMoved(
                f'the log is at version {view.head.version}, not older than '
                f'the snapshot of version {snapshot.version}'
            )
        return view
