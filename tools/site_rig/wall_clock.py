"""The time of day of a machine, apart from that of the others.

A file holds by how much a machine's clock is off. The rig writes it; the node
there reads it whenever it asks for the time. Needs the standard library only,
as it runs before the program of a node, whatever its version.
"""

import os
import pathlib
import struct
import time

_OFFSET = struct.Struct('d')
_NS_PER_S = 1_000_000_000


class ClockFile:
    """By how much a machine's clock is off; outlasts its processes."""

    def __init__(self, *, path: pathlib.Path) -> None:
        self.path = path
        self._offset_s = float(0)
        self._write()

    def step(self, by_s: float) -> None:
        """Let the time of day jump."""
        self._offset_s += by_s
        self._write()

    def _write(self) -> None:
        """Write in place: the node holds the file open."""
        written = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        os.pwrite(written, _OFFSET.pack(self._offset_s), 0)
        os.close(written)


class WallClock:
    """The time of day as a machine with such a file sees it."""

    def __init__(self, *, path: str) -> None:
        self._file = os.open(path, os.O_RDONLY)
        self._time_ns = time.time_ns

    def time_ns(self) -> int:
        """Return what ``time.time_ns`` does."""
        written = os.pread(self._file, _OFFSET.size, 0)
        offset_s = _OFFSET.unpack(written)[0]
        return self._time_ns() + int(offset_s * _NS_PER_S)

    def time(self) -> float:
        """Return what ``time.time`` does."""
        return self.time_ns() / _NS_PER_S


def follow(path: str) -> None:
    """Have this process read the time of day of its machine from now on."""
    clock = WallClock(path=path)
    time.time = clock.time
    time.time_ns = clock.time_ns
