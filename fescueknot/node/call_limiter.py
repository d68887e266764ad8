"""Limits the calls in progress at one port.

A port has a fixed number of threads. The last of them are reserved for
refusals, which take almost no time, so that no call waits for a thread where
admission can't see it.
"""

import contextlib
import enum
import threading
from collections.abc import Iterator

from fescueknot.calls import Importance

# Threads that only refuse, and the fraction of the other threads that calls
# less important than HIGH may occupy.
_REFUSAL_THREADS = 2
_LOW_IMPORTANCE_FRACTION = 0.8


class LimiterDecision(enum.Enum):
    """Whether a call is accepted, or why it is not."""

    ACCEPTED = 'accepted'
    FULL = 'full'
    CLOSED = 'closed'


class CallLimiter:
    """Bounds the calls in progress; closes for a planned stop. Thread-safe."""

    def __init__(self, *, threads: int) -> None:
        self._changed = threading.Condition()
        self._max_calls = max(1, threads - _REFUSAL_THREADS)
        self._max_low_calls = max(
            1, int(self._max_calls * _LOW_IMPORTANCE_FRACTION)
        )
        self._in_progress = 0
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether all new calls are refused."""
        return self._closed

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress."""
        return self._in_progress

    @contextlib.contextmanager
    def acquire(self, importance: Importance) -> Iterator[LimiterDecision]:
        """Count a call as in progress during the block, if it is accepted."""
        decision = self._acquire(importance)
        try:
            yield decision
        finally:
            if decision is LimiterDecision.ACCEPTED:
                self._release()

    def close(self) -> None:
        """Refuse new calls from now on."""
        with self._changed:
            self._closed = True

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait until no call is in progress; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(self._is_idle, timeout=timeout_s)

    def _acquire(self, importance: Importance) -> LimiterDecision:
        with self._changed:
            if self._closed:
                return LimiterDecision.CLOSED
            max_calls = self._max_calls
            if importance > Importance.HIGH:
                max_calls = self._max_low_calls
            if self._in_progress >= max_calls:
                return LimiterDecision.FULL
            self._in_progress += 1
            return LimiterDecision.ACCEPTED

    def _release(self) -> None:
        with self._changed:
            self._in_progress -= 1
            self._changed.notify_all()

    def _is_idle(self) -> bool:
        return self._in_progress == 0
