"""What a node passes on to others that are behind."""

import collections

from fescueknot.rules.log_entry import Head, LogEntry, LogMessage, Snapshot

_MAX_ENTRIES = 256


class RecentEntries:
    """The entries up to the head, and the snapshot made of the head."""

    def __init__(self) -> None:
        self._entries: collections.deque[LogEntry] = collections.deque(
            maxlen=_MAX_ENTRIES
        )
        self._snapshot: Snapshot | None = None

    def add(self, entry: LogEntry) -> None:
        """Remember the entry that led to the head."""
        self._entries.append(entry)

    def clear(self) -> None:
        """Forget all, after a jump to a snapshot."""
        self._entries.clear()

    def after(self, version: int, head: Head) -> tuple[LogMessage, ...]:
        """Return what leads from ``version`` to ``head``.

        Entries when all are there, otherwise a snapshot of the head.
        """
        if version >= head.version:
            return ()
        missing = head.version - version
        if missing <= len(self._entries):
            return tuple(self._entries)[-missing:]
        if self._snapshot is None or self._snapshot.version != head.version:
            self._snapshot = head.snapshot()
        return (self._snapshot,)
