"""Whether a port takes new work, and how much is in progress.

A port has a fixed number of threads. The last of them are kept for refusals,
which take no time, so that no call waits unseen for a thread.
"""

import contextlib
import enum
import threading
from collections.abc import Iterator

from fescueknot.calls import Importance

# Threads that only refuse, and the share that important calls may fill.
_SPARE_THREADS = 2
_LOW_SHARE = 0.8


class LimiterDecision(enum.Enum):
    """Whether a call may pass."""

    ACCEPTED = 'open'
    FULL = 'full'
    CLOSED = 'closed'


class CallLimiter:
    """Counts calls in progress; closes for a planned stop. Thread-safe."""

    def __init__(self, *, threads: int) -> None:
        self._changed = threading.Condition()
        self._most = max(1, threads - _SPARE_THREADS)
        self._most_low = max(1, int(self._most * _LOW_SHARE))
        self._in_progress = 0
        self._closed = False

    @property
    def closed(self) -> bool:
        """Tell whether all new calls are refused."""
        return self._closed

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress."""
        return self._in_progress

    @contextlib.contextmanager
    def acquire(self, importance: Importance) -> Iterator[LimiterDecision]:
        """Count a call while the block runs, if it may pass."""
        decision = self._enter(importance)
        try:
            yield decision
        finally:
            if decision is LimiterDecision.ACCEPTED:
                self._leave()

    def close(self) -> None:
        """Refuse new calls from now on."""
        with self._changed:
            self._closed = True

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait until nothing is in progress; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(self._idle, timeout=timeout_s)

    def _enter(self, importance: Importance) -> LimiterDecision:
        with self._changed:
            if self._closed:
                return LimiterDecision.CLOSED
            most = self._most
            if importance > Importance.HIGH:
                most = self._most_low
            if self._in_progress >= most:
                return LimiterDecision.FULL
            self._in_progress += 1
            return LimiterDecision.ACCEPTED

    def _leave(self) -> None:
        with self._changed:
            self._in_progress -= 1
            self._changed.notify_all()

    def _idle(self) -> bool:
        return self._in_progress == 0
