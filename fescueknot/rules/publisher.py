"""Adds operators' edits to the rules log."""

import logging
import uuid
from collections.abc import Callable

from fescueknot.clock import Clock
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules.archive import Archive
from fescueknot.rules.edit import (
    Applied,
    ApplyResult,
    Edit,
    Unchanged,
    build_entry,
)
from fescueknot.rules.entry_writer import EntryWriter
from fescueknot.rules.errors import BaseMoved, LogUnavailable
from fescueknot.rules.log_entry import encode_log_message
from fescueknot.rules.log_view import (
    RULES_PREFIX,
    LogLayout,
    LogView,
    view_of,
)
from fescueknot.rules.rules_file import check_rules

_DEFAULT_LAYOUT = LogLayout()
_logger = logging.getLogger('fescueknot.rules')


def new_change_id() -> str:
    """Return a random identifier for a change."""
    return str(uuid.uuid4())


class RulesPublisher:
    """Reads the rules log and appends entries by conditional writes."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Clock,
        change_ids: Callable[[], str] = new_change_id,
        layout: LogLayout = _DEFAULT_LAYOUT,
    ) -> None:
        self._store = store
        self._clock = clock
        self._change_ids = change_ids
        self._layout = layout

    def read(self) -> LogView:
        """Return the log; raise ``LogUnavailable`` or ``LogBroken``."""
        try:
            return view_of(self._store.list(RULES_PREFIX))
        except ObjectApiError as error:
            raise LogUnavailable(str(error)) from error

    def apply(self, edit: Edit) -> ApplyResult:
        """Write an edit to the log as the next version.

        Raises ``InvalidRules``, ``TextTooLarge``, ``LogUnavailable``,
        ``LogBroken``, ``BaseMoved`` if the rules have changed since the base
        version of the edit, ``RaceLost`` if another edit is accepted at the
        same time, and ``ApplyUnknown``. After each of them the same edit can
        safely be applied again.
        """
        check_rules(edit.text, file=edit.file)
        view = self.read()
        if tuple(edit.text.splitlines()) == view.head.lines:
            return Unchanged(version=view.head.version)
        if edit.base_version != view.head.version:
            raise BaseMoved(_describe_changes_since(view, edit.base_version))
        entry = build_entry(
            view.head,
            edit,
            change_id=self._change_ids(),
            wall_time_s=self._clock.wall_s(),
        )
        self._write_snapshot_if_due(view)
        writer = EntryWriter(
            store=self._store, view=view, entry=entry, layout=self._layout
        )
        writer.write()
        return Applied(entry=entry)

    def _write_snapshot_if_due(self, view: LogView) -> None:
        """Archive entries and write a snapshot of the head, if one is due.

        Entries up to the snapshot may then be overwritten in the ring. After
        a failure the next edit tries again; it is refused if the ring could
        soon overwrite entries that no snapshot covers.
        """
        new_versions = view.head.version - view.snapshot_version
        if new_versions < self._layout.versions_per_snapshot:
            return
        try:
            self._write_snapshot(view)
        except ObjectApiError as error:
            _logger.warning(
                'rules: could not write a snapshot of the log: %s', error
            )
            if new_versions >= self._layout.max_versions_without_snapshot:
                raise LogUnavailable(
                    f'the due snapshot could not be written: {error}'
                ) from error

    def _write_snapshot(self, view: LogView) -> None:
        archive = Archive(
            store=self._store,
            versions_per_page=self._layout.versions_per_snapshot,
        )
        archive.write_page(view.entries_after(view.snapshot_version))
        encoded = encode_log_message(view.head.snapshot())
        key = view.next_snapshot_key()
        store_version = view.store_versions.get(key)
        if store_version is None:
            self._store.create(key, encoded)
        else:
            self._store.update(key, encoded, store_version)


def _describe_changes_since(view: LogView, base_version: int) -> str:
    newer_entries = view.entries_after(base_version)
    authors = sorted({entry.author for entry in newer_entries})
    return (
        f'the rules are at version {view.head.version}, your edit is based '
        f'on {base_version}; changed since by {", ".join(authors) or "?"}'
    )
