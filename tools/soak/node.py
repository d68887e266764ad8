"""A node of the soak as a process, between proxies."""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator

import msgspec

from fescueknot.identity import Address
from tools.soak.proxy import Proxy

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_ROLES = ('callers', 'peers', 'ready', 'heartbeats', 'gossip')
_METRICS_ROLE = 'metrics'
_POLL_S = 0.05


class SoakNode:
    """One node process and the proxies around it."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        folder: pathlib.Path,
        store: Proxy,
        target: Proxy,
        ports: Iterator[int],
    ) -> None:
        self.name = name
        self.service = service
        self.store = store
        self.target = target
        self.is_stopping = False
        self.used_cpu_s = float(0)
        self._settings = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._ports = {
            role: f'127.0.0.1:{next(ports)}'
            for role in (*_ROLES, _METRICS_ROLE)
        }
        self._process: subprocess.Popen[bytes] | None = None

    def port(self, role: str) -> Address:
        """Return the address that the node listens at for a role."""
        host, _, port = self._ports[role].partition(':')
        return Address(host=host, port=int(port))

    def configure(self, drain_s: float, grace_s: float) -> None:
        """Write the settings; the proxies have started."""
        settings = {
            'node': self.name,
            'service': self.service,
            'target': str(self.target.address),
            'region': 'a',
            'failure_domain': 'a-1',
            'ports': {role: self._ports[role] for role in _ROLES},
            'metrics_port': self.port(_METRICS_ROLE).port,
            'bounds': {'drain_s': drain_s, 'grace_s': grace_s},
            'object_store': str(self.store.address),
        }
        self._settings.write_bytes(msgspec.json.encode(settings))

    def start(self) -> None:
        """Start the process."""
        self.is_stopping = False
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'fescueknot.platform.main'],
                cwd=_ROOT,
                env={**os.environ, 'FESCUEKNOT_CONFIG': str(self._settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process is not None and self.exit_status is None

    async def stop_within(self, limit_s: float) -> int:
        """SIGTERM the process, SIGKILL it later; return its exit status."""
        self.is_stopping = True
        process = self._process
        process.terminate()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._poll(process) is None:
                    await asyncio.sleep(_POLL_S)
        process.kill()
        return process.wait()

    @property
    def exit_status(self) -> int | None:
        """Return how the process ended, negative for a signal."""
        return None if self._process is None else self._poll(self._process)

    def end(self) -> None:
        """End the process for good."""
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def _poll(self, process: subprocess.Popen[bytes]) -> int | None:
        """Return how a process ended; note its processor time then."""
        if process.returncode is not None:
            return process.returncode
        before_s = _cpu_s_of_ended()
        status = process.poll()
        if status is not None:
            self.used_cpu_s = _cpu_s_of_ended() - before_s
        return status


def _cpu_s_of_ended() -> float:
    """Return the processor time of all processes that have been waited for."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime
