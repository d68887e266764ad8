"""Entries that came before those that they build on."""

from fescueknot.rules.log_entry import LogEntry

_MAX_WAITING = 512


class WaitingEntries:
    """A bounded set of entries by version; the highest ones give way."""

    def __init__(self) -> None:
        self._by_version: dict[int, LogEntry] = {}

    def __bool__(self) -> bool:
        """Tell whether any entry waits."""
        return bool(self._by_version)

    def add(self, entry: LogEntry) -> None:
        """Keep an entry; the latest copy of a version wins."""
        self._by_version[entry.version] = entry
        if len(self._by_version) > _MAX_WAITING:
            self._by_version.pop(max(self._by_version))

    def pop(self, version: int) -> LogEntry | None:
        """Take out the entry of a version, if it is there."""
        return self._by_version.pop(version, None)

    def lowest(self) -> int:
        """Return the lowest version that waits."""
        return min(self._by_version)

    def drop_until(self, version: int) -> None:
        """Forget entries up to and including ``version``."""
        for old in tuple(self._by_version):
            if old <= version:
                self._by_version.pop(old)
