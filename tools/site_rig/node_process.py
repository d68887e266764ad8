"""A node as a process that is stopped and started again."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from tools.site_rig.memory_watch import MemoryWatch, limit_descriptors
from tools.site_rig.records import RecordFile, SignalKind, SignalRecord
from tools.site_rig.scene import Host
from tools.site_rig.site import Bounds

_MS_PER_S = 1000
_POLL_S = 0.02
_RESTART_S = 0.5
_ROLES = ('callers', 'peers', 'ready', 'heartbeats', 'gossip')


class NodeProcess:
    """One node; ``code`` is the folder that its program is in."""

    def __init__(
        self,
        *,
        host: Host,
        store: str,
        folder: pathlib.Path,
        code: pathlib.Path,
        bounds: Bounds,
        records: RecordFile,
    ) -> None:
        self.host = host
        self._store = store
        self._settings = folder / f'{host.name}.json'
        self._log = folder / f'{host.name}.log'
        self._code = code
        self._bounds = bounds
        self._records = records
        self._watch = MemoryWatch(host=host, records=records)
        self._process: subprocess.Popen[bytes] | None = None
        self._is_held = False
        self._versions = 0

    def configure(self) -> None:
        """Write the settings, each time with another bound."""
        self._versions += 1
        host, bounds = self.host, self._bounds
        settings = {
            'node': host.name,
            'service': host.service,
            'target': host.target,
            'region': host.region,
            'failure_domain': host.zone,
            'ports': {role: host.address(role) for role in _ROLES},
            'bounds': {
                'drain_s': bounds.drain_ms / _MS_PER_S,
                'grace_s': bounds.grace_s,
                'in_force_s': bounds.config_ms / _MS_PER_S,
                'retry_slack': bounds.budget_slack + self._versions % 2,
            },
            'object_store': self._store,
            'metrics_port': host.metrics_port,
            'memory_mb': host.memory_mb,
        }
        written = self._settings.with_suffix('.new')
        written.write_bytes(msgspec.json.encode(settings))
        written.replace(self._settings)

    def start(self, kind: SignalKind = SignalKind.START) -> None:
        """Start the process."""
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'fescueknot.platform.main'],
                cwd=self._code,
                env={**os.environ, 'FESCUEKNOT_CONFIG': str(self._settings)},
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
            self.configure()
            self._note(SignalKind.HUP)
            self.send(signal.SIGHUP)

    async def restart(self) -> None:
        """Send SIGTERM, and start again after the end."""
        if await self.stop():
            await asyncio.sleep(_RESTART_S)
            self.start()
            self._is_held = False

    async def stop(self) -> bool:
        """Send SIGTERM and wait for the end; it does not start by itself.

        Return whether it was this call that stopped it.
        """
        if self._is_held or not self._is_running:
            return False
        self._is_held = True
        self._note(SignalKind.TERM)
        self.send(signal.SIGTERM)
        ends_s = time.monotonic() + self._bounds.grace_s
        while self._is_running and time.monotonic() < ends_s:
            await asyncio.sleep(_POLL_S)
        if self._is_running:
            self._note(SignalKind.KILL, 'at the end of the grace period')
        self.end()
        self._note_end()
        return True

    async def kill(self, down_s: float, *, is_dark: bool = False) -> None:
        """Send SIGKILL, and start again after a time.

        One that is being stopped or is down is started by who stopped it. If
        it is dark, its connections are silent until then, as after a loss of
        power.
        """
        self._note(SignalKind.KILL)
        self.send(signal.SIGSTOP if is_dark else signal.SIGKILL)
        is_held = self._is_held
        self._is_held = True
        await asyncio.sleep(down_s)
        self.send(signal.SIGKILL)
        if not is_held:
            self.end()
            self._note_end()
            self.start()
            self._is_held = False

    def remove(self) -> None:
        """Kill it for good."""
        self._is_held = True
        self._note(SignalKind.KILL)
        self.end()
        self._note_end()

    async def revive(self) -> None:
        """Start again whenever the process has ended by itself."""
        while True:
            await asyncio.sleep(_RESTART_S)
            if not self._is_held and not self._is_running:
                self._note_end()
                self.start(SignalKind.REVIVAL)

    async def watch_memory(self) -> None:
        """Hold the process to the memory of its machine."""
        await self._watch.run(lambda: self._process)

    def end(self) -> None:
        """Kill the process if it runs."""
        if self._is_running:
            self._process.kill()
            self._process.wait()

    def note_peak(self) -> None:
        """Write the peak of the last process."""
        self._watch.note()

    @property
    def _is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def _note_end(self) -> None:
        self._note(SignalKind.END, f'status {self._process.returncode}')

    def _note(self, kind: SignalKind, detail: str = '') -> None:
        now_s = time.monotonic()
        self._records.add(
            SignalRecord(
                host=self.host.name, kind=kind, at_s=now_s, detail=detail
            )
        )
