"""Processes of the demo: started here, and ended by their ids."""

import os
import pathlib
import signal
import subprocess
import time
from collections.abc import Sequence

from tools.demonstration.errors import DemoError

_GRACE_S = 4.0
_POLL_S = 0.05


class Process:
    """One started process; its output goes to a file."""

    def __init__(
        self,
        *,
        name: str,
        command: Sequence[str],
        log: pathlib.Path,
        place: pathlib.Path,
    ) -> None:
        self.name = name
        self._log = log.open('wb')
        self._process = subprocess.Popen(
            command, stdout=self._log, stderr=subprocess.STDOUT, cwd=place
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def wait(self, timeout_s: float) -> int:
        """Return the exit code; raise ``subprocess.TimeoutExpired``."""
        return self._process.wait(timeout_s)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running():
            os.kill(self.pid, signal_number)

    def reap(self) -> None:
        """Collect the exit code of an ended process."""
        self._process.wait()
        self._log.close()


class ProcessGroup:
    """All processes of one leg of the demo."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._processes: list[Process] = []

    def start(
        self, name: str, command: Sequence[str], place: pathlib.Path
    ) -> Process:
        """Start a process in ``place``; its output goes to ``<name>.log``."""
        log = self._folder / f'{name}.log'
        process = Process(name=name, command=command, log=log, place=place)
        self._processes.append(process)
        return process

    def kill(self, name: str) -> None:
        """End one process at once, as a lost host does."""
        self.find(name).send(signal.SIGKILL)

    def find(self, name: str) -> Process:
        """Return the process of that name; raise :class:`DemoError`."""
        for process in self._processes:
            if process.name == name:
                return process
        raise DemoError(f'no process {name}')

    def end(self) -> None:
        """End all processes, first kindly, then not."""
        for process in self._processes:
            process.send(signal.SIGTERM)
        ends_s = time.monotonic() + _GRACE_S
        while self._any_running() and time.monotonic() < ends_s:
            time.sleep(_POLL_S)
        for late in self._processes:
            late.send(signal.SIGKILL)
            late.reap()

    def _any_running(self) -> bool:
        return any(process.running() for process in self._processes)
