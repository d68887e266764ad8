"""Messages that a node sends to nodes with an older version."""

import collections

from fescueknot.rules.log_entry import Head, LogEntry, LogMessage, Snapshot

_MAX_ENTRIES = 256


class RecentEntries:
    """The latest entries up to the head, and a snapshot of the head."""

    def __init__(self) -> None:
        self._entries: collections.deque[LogEntry] = collections.deque(
            maxlen=_MAX_ENTRIES
        )
        self._snapshot: Snapshot | None = None

    def add(self, entry: LogEntry) -> None:
        """Store the entry that has become the head."""
        self._entries.append(entry)

    def clear(self) -> None:
        """Remove all entries; call it after a snapshot has become the head."""
        self._entries.clear()

    def after(self, version: int, head: Head) -> tuple[LogMessage, ...]:
        """Return the messages that lead from ``version`` to ``head``.

        These are the entries if all are stored, otherwise a snapshot.
        """
        if version >= head.version:
            return ()
        missing_count = head.version - version
        if missing_count <= len(self._entries):
            return tuple(self._entries)[-missing_count:]
        if self._snapshot is None or self._snapshot.version != head.version:
            self._snapshot = head.snapshot()
        return (self._snapshot,)
