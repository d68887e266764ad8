"""A node as a process that is stopped and started again."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

from tools.site_rig.memory_watch import MemoryWatch, limit_descriptors
from tools.site_rig.node_settings import NodeSettings
from tools.site_rig.records import RecordFile, SignalKind, SignalRecord
from tools.site_rig.scene import Host
from tools.site_rig.wall_clock import ClockFile

_POLL_S = 0.02
_RESTART_S = 0.5
_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_LAUNCHER = 'tools.site_rig.node_launcher'


class NodeProcess:
    """One node; ``code`` is the folder that its program is in."""

    def __init__(
        self,
        *,
        host: Host,
        settings: NodeSettings,
        code: pathlib.Path,
        records: RecordFile,
    ) -> None:
        self.host = host
        # Its host is gone, and it has ended.
        self.has_left = False
        self.clock = ClockFile(path=settings.path.with_suffix('.clock'))
        self._settings = settings
        self._log = settings.path.with_suffix('.log')
        self._code = code
        self._records = records
        self._watch = MemoryWatch(host=host, records=records)
        self._process: subprocess.Popen[bytes] | None = None
        self._is_held = False
        self._is_gone = False

    def start(self, kind: SignalKind = SignalKind.START) -> None:
        """Start the process."""
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    _LAUNCHER,
                    str(self._code.resolve()),
                    str(self.clock.path.resolve()),
                    str(self._settings.path.with_suffix('.links').resolve()),
                ],
                cwd=_ROOT,
                env={
                    **os.environ,
                    'FESCUEKNOT_CONFIG': str(self._settings.path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=limit_descriptors(self.host.fds),  # noqa: PLW1509
            )
        self._note(kind, f'pid {self._process.pid}')

    def send(self, sent: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._is_running:
            self._process.send_signal(sent)

    def reload(self) -> None:
        """Send SIGHUP."""
        if self._is_running:
            self._settings.write()
            self._note(SignalKind.HUP)
            self.send(signal.SIGHUP)

    async def restart(self) -> None:
        """Send SIGTERM, and start again after the end."""
        if await self._terminate():
            await asyncio.sleep(_RESTART_S)
            self._start_again()

    async def stop(self) -> None:
        """Send SIGTERM; its host is gone and it does not start again."""
        self._is_gone = True
        await self._terminate()
        while self._is_running:
            await asyncio.sleep(_POLL_S)
        self.has_left = True

    async def kill(self, down_s: float, *, is_dark: bool = False) -> None:
        """Send SIGKILL, and start again after a time.

        One that is being stopped or is down is started by who stopped it. If
        it is dark, its connections are silent until then, as after a loss of
        power.
        """
        self._note(SignalKind.KILL)
        struck = self._process
        self.send(signal.SIGSTOP if is_dark else signal.SIGKILL)
        is_held = self._is_held
        self._is_held = True
        await asyncio.sleep(down_s)
        _kill(struck)
        if not is_held:
            self._note(SignalKind.END, _status(self._process))
            self._start_again()

    def remove(self) -> None:
        """Kill it; its host is gone and it does not start again."""
        self._is_gone = True
        self._note(SignalKind.KILL)
        self.end()
        self.has_left = True
        self._note(SignalKind.END, _status(self._process))

    async def revive(self) -> None:
        """Start again whenever the process has ended by itself."""
        while not self._is_gone:
            await asyncio.sleep(_RESTART_S)
            is_down = self._is_held or self._is_gone
            if not is_down and not self._is_running:
                self._note(SignalKind.END, _status(self._process))
                self.start(SignalKind.REVIVAL)

    async def watch_memory(self) -> None:
        """Hold the process to the memory of its machine."""
        await self._watch.run(lambda: self._process)

    def end(self) -> None:
        """Kill the process if it runs."""
        _kill(self._process)

    def note_peak(self) -> None:
        """Write the peak of the last process."""
        self._watch.note()

    async def _terminate(self) -> bool:
        """Send SIGTERM and wait for the end; tell whether it was not held."""
        if self._is_held or not self._is_running:
            return False
        self._is_held = True
        self._note(SignalKind.TERM)
        self.send(signal.SIGTERM)
        ends_s = time.monotonic() + self._settings.bounds.grace_s
        while self._is_running and time.monotonic() < ends_s:
            await asyncio.sleep(_POLL_S)
        if self._is_running:
            self._note(SignalKind.KILL, 'at the end of the grace period')
        self.end()
        self._note(SignalKind.END, _status(self._process))
        return True

    def _start_again(self) -> None:
        if not self._is_gone:
            self.start()
        self._is_held = False

    @property
    def _is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def _note(self, kind: SignalKind, detail: str = '') -> None:
        now_s = time.monotonic()
        self._records.add(
            SignalRecord(
                host=self.host.name, kind=kind, at_s=now_s, detail=detail
            )
        )


def _kill(process: subprocess.Popen[bytes] | None) -> None:
    """Kill a process if it runs, and wait for its end."""
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()


def _status(process: subprocess.Popen[bytes]) -> str:
    return f'status {process.returncode}'
