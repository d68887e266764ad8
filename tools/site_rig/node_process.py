"""A node as a process that is stopped and started again."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from tools.site_rig.records import RecordFile, SignalKind, SignalRecord
from tools.site_rig.scene import Host
from tools.site_rig.site import Bounds

_MS_PER_S = 1000
_KB_PER_MB = 1024
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
        self._process: subprocess.Popen[bytes] | None = None
        self._is_stopping = False
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

    def start(self) -> None:
        """Start the process."""
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'fescueknot.platform.main'],
                cwd=self._code,
                env={**os.environ, 'FESCUEKNOT_CONFIG': str(self._settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._note(SignalKind.START, f'pid {self._process.pid}')

    def reload(self) -> None:
        """Send SIGHUP."""
        if self._is_running:
            self.configure()
            self._note(SignalKind.HUP)
            self._process.send_signal(signal.SIGHUP)

    def send(self, number: signal.Signals) -> None:
        """Send a signal without a record."""
        if self._is_running:
            self._process.send_signal(number)

    def resident_mb(self) -> float:
        """Return the memory of the process, 0 if it has ended."""
        if not self._is_running:
            return 0
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        _, _, resident = status.partition('VmRSS:')
        return float(resident.split()[0]) / _KB_PER_MB if resident else 0

    async def restart(self) -> None:
        """Send SIGTERM, and start again after the end."""
        if self._is_stopping or not self._is_running:
            return
        self._is_stopping = True
        self._note(SignalKind.TERM)
        self._process.send_signal(signal.SIGTERM)
        ends_s = time.monotonic() + self._bounds.grace_s
        while self._is_running and time.monotonic() < ends_s:
            await asyncio.sleep(_POLL_S)
        self.end()
        self._note_end()
        await asyncio.sleep(_RESTART_S)
        self.start()
        self._is_stopping = False

    async def revive(self) -> None:
        """Start again whenever the process has ended by itself."""
        while True:
            await asyncio.sleep(_RESTART_S)
            if not self._is_stopping and not self._is_running:
                self._note_end()
                self.start()

    def end(self) -> None:
        """Kill the process if it runs."""
        if self._is_running:
            self._process.kill()
            self._process.wait()

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
