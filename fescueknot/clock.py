"""Clocks, passed to all code that depends on the time.

Such code gets a :class:`Clock` or the current time as an argument and never
reads the time of the system, so that tests and replays are deterministic.
"""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Source of time in seconds."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary origin; they never decrease."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


def boot_time_s() -> float:
    """Return seconds since the host booted, including time in suspend.

    With a clock that stops while the host is suspended, a lease would last
    longer than its term.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def time_left_s(deadline_s: float) -> float:
    """Return how long a deadline of ``boot_time_s`` is ahead.

    Raises ``TimeoutError`` if it is over.
    """
    left_s = deadline_s - boot_time_s()
    if left_s <= 0:
        raise TimeoutError
    return left_s


def suspended_s() -> float:
    """Return how long the host has been suspended since it booted."""
    return boot_time_s() - time.monotonic()


def elapsed_s() -> float:
    """Return the time of the running event loop, with suspended time added.

    The loop's own clock stops while the host is suspended; what a node knows
    gets older all the same.
    """
    return asyncio.get_running_loop().time() + suspended_s()


class SystemClock(Clock):
    """Clock of the host."""

    def monotonic_s(self) -> float:
        """Return seconds since the host booted."""
        return boot_time_s()

    def wall_s(self) -> float:
        """Return the wall-clock time of the host."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only by :meth:`advance`, for tests and replay."""

    def __init__(self, *, now_s: float = 0, wall_offset_s: float = 0) -> None:
        self._now_s = now_s
        self._wall_offset_s = wall_offset_s

    def monotonic_s(self) -> float:
        """Return the current time of the clock."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current time plus the wall-clock offset."""
        return self._now_s + self._wall_offset_s

    def advance(self, *, seconds_s: float) -> None:
        """Move the clock forward by ``seconds_s``."""
        self._now_s += seconds_s
