"""The rules log as read from the store.

The log is a ring of slots: the entry of version ``v`` is stored in slot ``v``
modulo the number of slots. It replaces the entry of the previous round by a
conditional write on the store version of that entry. Each version is thus
written only once, even by an operator who has read a stale state, and entries
need not be deleted.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from fescueknot.objectapi.messages import Listing
from fescueknot.rules.errors import BadDelta, BadSnapshot, LogBroken
from fescueknot.rules.log_entry import (
    Head,
    LogEntry,
    LogMessage,
    Snapshot,
    decode_log_message,
    head_of,
)

RULES_PREFIX = 'rules/'
_SNAPSHOT_KEYS = ('rules/snapshot/0', 'rules/snapshot/1')


class LogLayout(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the ring; all operators of a store must use the same sizes.

    A snapshot of the text is written every ``versions_per_snapshot``
    versions.
    """

    slots: int = 1024
    versions_per_snapshot: int = 256

    @property
    def max_versions_without_snapshot(self) -> int:
        """Number of versions after a snapshot before a new one is required."""
        return self.slots - self.versions_per_snapshot

    def entry_key(self, version: int) -> str:
        """Return the key of the slot of a version."""
        return f'rules/log/{version % self.slots:04}'


class LogView(msgspec.Struct, frozen=True, kw_only=True):
    """The head, the entries and snapshots, and the store version by key."""

    head: Head
    entries: tuple[LogEntry, ...]
    snapshots: Mapping[str, Snapshot]
    store_versions: Mapping[str, int]

    @property
    def snapshot_version(self) -> int:
        """The version of the newest snapshot; 0 if there is none."""
        versions = (snapshot.version for snapshot in self.snapshots.values())
        return max(versions, default=0)

    def next_snapshot_key(self) -> str:
        """Return the key of the older snapshot, to be replaced next."""
        return min(_SNAPSHOT_KEYS, key=self._snapshot_version_at)

    def entries_after(self, version: int) -> tuple[LogEntry, ...]:
        """Return the entries above ``version``, in order."""
        return tuple(entry for entry in self.entries if entry.version > version)

    def _snapshot_version_at(self, key: str) -> int:
        snapshot = self.snapshots.get(key)
        return snapshot.version if snapshot else 0


def messages_of(listing: Listing) -> tuple[LogMessage, ...]:
    """Return the log messages in a listing of ``RULES_PREFIX``.

    Snapshots come first, then entries, both in the order of versions.
    """
    return _snapshots_first(_decode_all(listing).values())


def view_of(listing: Listing) -> LogView:
    """Return the log in a listing; raise ``LogBroken``."""
    by_key = _decode_all(listing)
    snapshots = {
        key: message
        for key, message in by_key.items()
        if isinstance(message, Snapshot)
    }
    messages = _snapshots_first(by_key.values())
    entries = messages[len(snapshots) :]
    return LogView(
        head=_head_after(_newest_head(snapshots.values()), entries),
        entries=entries,
        snapshots=snapshots,
        store_versions={
            stored.key: stored.version for stored in listing.objects
        },
    )


def _decode_all(listing: Listing) -> dict[str, LogMessage]:
    decoded = (
        (stored.key, decode_log_message(stored.value))
        for stored in listing.objects
    )
    return {key: message for key, message in decoded if message is not None}


def _snapshots_first(messages: Iterable[LogMessage]) -> tuple:
    return tuple(sorted(messages, key=_sort_key))


def _sort_key(message: LogMessage) -> tuple[bool, int]:
    return isinstance(message, LogEntry), message.version


def _newest_head(snapshots: Iterable[Snapshot]) -> Head:
    heads = map(_head_or_empty, snapshots)
    return max(heads, key=lambda head: head.version, default=Head())


def _head_or_empty(snapshot: Snapshot) -> Head:
    try:
        return head_of(snapshot)
    except BadSnapshot:
        return Head()


def _head_after(head: Head, entries: Sequence[LogEntry]) -> Head:
    newer = [entry for entry in entries if entry.version > head.version]
    try:
        return head.after_all(newer)
    except BadDelta as error:
        raise LogBroken(f'the rules log is corrupt: {error}') from error
