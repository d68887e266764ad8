"""Virtual time: processes as generators, run in the order of time.

A process yields a :class:`Pause` to go on later, or a :class:`Signal` to go on
with the value that the signal gets. Time stands still while a process runs.
"""

import heapq
import itertools
from collections.abc import Callable, Generator
from typing import Any

import msgspec

from fescueknot.clock import ManualClock

Process = Generator[Any, Any, Any]
Action = Callable[[], None]
_Due = tuple[float, int, Action]


class Pause(msgspec.Struct, frozen=True, kw_only=True):
    """Go on after ``wait_s``."""

    wait_s: float


class Signal:
    """A value that comes later, for one process that waits for it."""

    def __init__(self, *, engine: 'Engine') -> None:
        self._engine = engine
        self._waiter: Process | None = None
        self._fired = False
        self._value: Any = None

    def fire(self, value: Any) -> None:
        """Give the value; only the first one counts."""
        if self._fired:
            return
        self._fired = True
        self._value = value
        if self._waiter is not None:
            self._engine.resume(self._waiter, value)

    def attach(self, process: Process) -> None:
        """Let a process wait."""
        if self._fired:
            self._engine.resume(process, self._value)
        else:
            self._waiter = process


class Engine:
    """Runs processes and calls in the order of their times."""

    def __init__(self, *, wall_offset_s: float) -> None:
        self.clock = ManualClock(wall_offset_s=wall_offset_s)
        self._queue: list[_Due] = []
        self._order = itertools.count()

    @property
    def now_s(self) -> float:
        """Return the virtual time."""
        return self.clock.monotonic_s()

    @property
    def wall_s(self) -> float:
        """Return the virtual wall clock."""
        return self.clock.wall_s()

    def call_at(self, at_s: float, action: Action) -> None:
        """Run an action at a time, at once when that is past."""
        entry = (max(at_s, self.now_s), next(self._order), action)
        heapq.heappush(self._queue, entry)

    def spawn(self, process: Process) -> None:
        """Start a process now."""
        self.resume(process, None)

    def resume(self, process: Process, value: Any) -> None:
        """Let a process go on now, with a value."""
        self.call_at(self.now_s, lambda: self._step(process, value))

    def signal(self) -> Signal:
        """Return a new signal."""
        return Signal(engine=self)

    def run(self, until_s: float) -> None:
        """Run all that is due before ``until_s``."""
        while self._queue and self._queue[0][0] < until_s:
            at_s, _, action = heapq.heappop(self._queue)
            self.clock.advance(seconds_s=at_s - self.now_s)
            action()

    def _step(self, process: Process, value: Any) -> None:
        try:
            wanted = process.send(value)
        except StopIteration:
            return
        if isinstance(wanted, Signal):
            wanted.attach(process)
        else:
            self.call_at(
                self.now_s + wanted.wait_s, lambda: self._step(process, None)
            )
