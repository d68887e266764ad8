"""Holds a node's process to the memory of its machine."""

import asyncio
import os
import pathlib
import resource
import subprocess
import time
from collections.abc import Callable

from tools.site_rig.records import (
    MemoryRecord,
    RecordFile,
    SignalKind,
    SignalRecord,
)
from tools.site_rig.scene import Host

_PROCESSES = pathlib.Path('/proc')
_POLL_S = 0.1
_KB_PER_MB = 1024
_PEAK = 'VmHWM:'


class MemoryWatch:
    """Kills a process that uses more than its machine has, and notes peaks.

    The kernel's own peak is read, so that nothing is missed between two looks;
    the process may use more for as long as ``poll_s``.
    """

    def __init__(
        self, *, host: Host, records: RecordFile, poll_s: float = _POLL_S
    ) -> None:
        self._host = host
        self._records = records
        self._poll_s = poll_s
        self._seen = MemoryRecord(
            host=host.name, pid=0, peak_mb=0, descriptors=0
        )

    async def run(
        self, process: Callable[[], subprocess.Popen[bytes] | None]
    ) -> None:
        """Watch for ever whatever process the node has."""
        while True:
            watched = process()
            if watched is not None and watched.poll() is None:
                self.look(watched)
            await asyncio.sleep(self._poll_s)

    def look(self, process: subprocess.Popen[bytes]) -> None:
        """Note the peak of a process that runs; kill it if that is too much."""
        pid = process.pid
        peak_mb = peak_mb_of(pid)
        if pid != self._seen.pid:
            self.note()
        if pid != self._seen.pid or peak_mb > self._seen.peak_mb:
            self._seen = MemoryRecord(
                host=self._host.name,
                pid=pid,
                peak_mb=peak_mb,
                descriptors=_descriptors_of(pid),
            )
        if peak_mb > self._host.memory_mb:
            process.kill()
            process.wait()
            self._note_kill()

    def note(self) -> None:
        """Write the peak of the last process."""
        if self._seen.pid:
            self._records.add(self._seen)

    def _note_kill(self) -> None:
        self._records.add(
            SignalRecord(
                host=self._host.name,
                kind=SignalKind.OVER_MEMORY,
                at_s=time.monotonic(),
                detail=f'{self._seen.peak_mb:.0f} MB',
            )
        )


def peak_mb_of(pid: int) -> float:
    """Return the most memory that a process has had, 0 if it is gone."""
    try:
        status = (_PROCESSES / str(pid) / 'status').read_text('ascii')
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith(_PEAK):
            return float(line.split()[1]) / _KB_PER_MB
    return 0


def limit_descriptors(count: int) -> Callable[[], None]:
    """Return what limits the open files of a process that is started."""

    def limit() -> None:  # noqa: WPS430
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))

    return limit


def _descriptors_of(pid: int) -> int:
    try:
        return len(os.listdir(_PROCESSES / str(pid) / 'fd'))
    except OSError:
        return 0
