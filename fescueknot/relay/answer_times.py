"""Latest times of the answers to callers, which come sooner in a stop."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

import msgspec

_MS_PER_S = 1000
# A target is told to stop work this long before its caller's node stops to
# wait, so that the target's own answer comes back: two ways between regions
# and the target's last steps.
TARGET_MARGIN_S = 0.25


class AnswerTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Latest times for one request, in the time of the event loop.

    ``expires_s`` is the deadline that its target is told, ``answer_by_s`` the
    time at which the caller gets an answer at the latest.
    """

    expires_s: float
    answer_by_s: float

    @property
    def answer_margin_ms(self) -> int:
        """Return how long after its deadline the target is waited for."""
        return int((self.answer_by_s - self.expires_s) * _MS_PER_S)


class AnswerDeadlines:
    """Sets the latest times of requests; all of them end with the node."""

    def __init__(self) -> None:
        self._end_s = math.inf
        self._running: set[asyncio.Timeout] = set()

    def end_by(self, end_s: float) -> None:
        """Have all requests answered by a time, those that run too."""
        self._end_s = end_s
        for timeout in self._running:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), end_s))

    @contextlib.asynccontextmanager
    async def timeout(self, times: AnswerTimes) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the block once an answer is due."""
        async with asyncio.timeout_at(times.answer_by_s) as timeout:
            self._running.add(timeout)
            try:
                yield
            finally:
                self._running.discard(timeout)

    def times(self, expires_s: float) -> AnswerTimes:
        """Return the times of a request that expires at ``expires_s``."""
        return AnswerTimes(
            expires_s=min(expires_s, self._end_s - TARGET_MARGIN_S),
            answer_by_s=min(expires_s, self._end_s),
        )
