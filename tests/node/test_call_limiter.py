"""Doors: bounded calls in progress, and a planned stop."""

from fescueknot.calls import Importance
from fescueknot.node.call_limiter import CallLimiter, LimiterDecision


class TestCallLimiter:
    """Who may pass."""

    def test_threads_are_kept_for_refusals(self) -> None:
        limiter = CallLimiter(threads=4)
        with (
            limiter.acquire(Importance.CRITICAL) as first,
            limiter.acquire(Importance.CRITICAL) as second,
            limiter.acquire(Importance.CRITICAL) as third,
        ):
            decisions = (first, second, third)
        assert decisions == (
            LimiterDecision.ACCEPTED,
            LimiterDecision.ACCEPTED,
            LimiterDecision.FULL,
        )

    def test_important_calls_find_room(self) -> None:
        limiter = CallLimiter(threads=4)
        with limiter.acquire(Importance.LOW):
            with limiter.acquire(Importance.LOW) as low:
                assert low is LimiterDecision.FULL
            with limiter.acquire(Importance.CRITICAL) as critical:
                assert critical is LimiterDecision.ACCEPTED

    def test_calls_in_progress_finish(self) -> None:
        limiter = CallLimiter(threads=4)
        with limiter.acquire(Importance.LOW):
            limiter.close()
            with limiter.acquire(Importance.CRITICAL) as late:
                assert late is LimiterDecision.CLOSED
            assert not limiter.wait_idle(timeout_s=0)
        assert limiter.wait_idle(timeout_s=0)

    def test_a_failing_call_is_counted_out(self) -> None:
        limiter = CallLimiter(threads=4)
        try:
            with limiter.acquire(Importance.LOW):
                raise LookupError
        except LookupError:
            assert limiter.in_progress == 0
