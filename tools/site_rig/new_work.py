"""Which machines get new work, as a file that other processes see."""

import pathlib
from collections.abc import Iterable

import msgspec


class NewWork:
    """The names of the hosts whose clients send new requests."""

    def __init__(self, *, folder: str) -> None:
        self._path = pathlib.Path(folder) / 'new_work.json'
        self._seen = (0, 0)
        self._hosts: frozenset[str] | None = None

    def write(self, hosts: Iterable[str]) -> None:
        """Let these hosts, and no others, get new work from now on."""
        names = frozenset(hosts)
        if names == self._hosts:
            return
        self._hosts = names
        written = self._path.with_suffix('.new')
        written.write_bytes(msgspec.json.encode(sorted(names)))
        written.replace(self._path)

    def hosts(self) -> frozenset[str]:
        """Return what was written last."""
        status = self._path.stat()
        found = status.st_ino, status.st_mtime_ns
        if found != self._seen:
            self._seen = found
            names = msgspec.json.decode(self._path.read_bytes(), type=list[str])
            self._hosts = frozenset(names)
        return self._hosts or frozenset()
