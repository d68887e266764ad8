"""Latest times of the answers to callers, which come sooner in a stop."""

import math
import types

import msgspec

from fescueknot.httpio.late_limits import LateLimit

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


class _AnswerLimit(LateLimit):
    """The time limit of a request, among those ``running`` during its block."""

    def __init__(self, *, at_s: float, running: set[LateLimit]) -> None:
        super().__init__(at_s=at_s)
        self._running = running

    async def __aenter__(self) -> LateLimit:
        """Begin the block of the current task."""
        await super().__aenter__()
        self._running.add(self)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Turn the cancellation by the limit into ``TimeoutError``."""
        self._running.discard(self)
        await super().__aexit__(kind, error, trace)


class AnswerDeadlines:
    """Sets the latest times of requests; all of them end with the node."""

    def __init__(self) -> None:
        self._end_s = math.inf
        self._running: set[LateLimit] = set()

    def end_by(self, end_s: float) -> None:
        """Have all requests answered by a time, those that run too."""
        self._end_s = end_s
        for limit in self._running:
            limit.move_ahead(end_s)

    def timeout(self, times: AnswerTimes) -> LateLimit:
        """Raise ``TimeoutError`` in the block once an answer is due."""
        return _AnswerLimit(at_s=times.answer_by_s, running=self._running)

    def times(self, expires_s: float) -> AnswerTimes:
        """Return the times of a request that expires at ``expires_s``."""
        return AnswerTimes(
            expires_s=min(expires_s, self._end_s - TARGET_MARGIN_S),
            answer_by_s=min(expires_s, self._end_s),
        )
