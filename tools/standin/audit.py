"""The audit of work that was begun for idempotency keys.

A target writes one line before it begins, so that the line outlives the end
of the process by SIGKILL.
"""

import collections
import os
import pathlib
import threading

import msgspec


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One begin of work for a key."""

    key: str
    target: str
    path: str


class Audit:
    """Counts the runs of each key and appends them to a file, if named."""

    def __init__(self, *, path: str = '') -> None:
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._descriptor = -1
        if path:
            flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
            self._descriptor = os.open(path, flags)

    def begin(self, run: Run) -> None:
        """Record that the work for a key begins now."""
        with self._lock:
            self._counts[run.key] += 1
            if self._descriptor >= 0:
                line = msgspec.json.encode(run)
                os.write(self._descriptor, b'%b\n' % line)

    def counts(self) -> dict[str, int]:
        """Return the number of runs of each key."""
        with self._lock:
            return dict(self._counts)


def read_runs(path: str) -> tuple[Run, ...]:
    """Return the runs in an audit file; none when there is no file."""
    file = pathlib.Path(path)
    if not file.exists():
        return ()
    lines = file.read_bytes().splitlines()
    return tuple(msgspec.json.decode(line, type=Run) for line in lines)
