"""A reorder buffer for entries received before their predecessors."""

from fescueknot.rules.log_entry import LogEntry

_MAX_ENTRIES = 512


class ReorderBuffer:
    """Entries by version; if it is full, the highest version is evicted."""

    def __init__(self) -> None:
        self._by_version: dict[int, LogEntry] = {}

    def __bool__(self) -> bool:
        """Return whether the buffer holds any entry."""
        return bool(self._by_version)

    def add(self, entry: LogEntry) -> None:
        """Store an entry; it replaces an earlier copy of its version."""
        self._by_version[entry.version] = entry
        if len(self._by_version) > _MAX_ENTRIES:
            self._by_version.pop(max(self._by_version))

    def pop(self, version: int) -> LogEntry | None:
        """Remove and return the entry of a version, if there is one."""
        return self._by_version.pop(version, None)

    def min_version(self) -> int:
        """Return the lowest version in the buffer."""
        return min(self._by_version)

    def remove_until(self, version: int) -> None:
        """Remove entries up to and including ``version``."""
        for buffered_version in tuple(self._by_version):
            if buffered_version <= version:
                self._by_version.pop(buffered_version)
