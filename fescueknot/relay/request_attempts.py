"""What was done for one request so far, and the answer that it leaves."""

import enum

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Response
from fescueknot.identity import InstanceId
from fescueknot.relay.messages import Call, Ending, Reply
from fescueknot.routes.messages import Route

_MS_PER_S = 1000
_RETRY_AFTER_S = 0.5
# Parts of the latency objective that a fresh request may wait in line.
_FRESH_PATIENCE = 0.12
_CRITICAL_PATIENCE = 0.5
# Parts of the time left that a call of a target may wait in line.
_CALL_PATIENCE = 0.2
_MOST_CALL_PATIENCE = 0.5


class Outcome(enum.StrEnum):
    """What is known of a request's work when it ends.

    ``ANSWERED`` is an answer of the target, of whatever status; ``NOT_RUN``
    holds for ever.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


class RequestAttempts:
    """Targets that were asked for one request, and what they said.

    ``honoured_s`` is the longest time to come back that its caller heeds.
    """

    def __init__(self, *, began_s: float, honoured_s: float) -> None:
        self.tried: frozenset[InstanceId] = frozenset()
        self.arrivals = 0
        self.asked = 0
        self.in_flight = False
        self._began_s = began_s
        self._honoured_s = honoured_s
        self._may_have_run = False
        self._was_answered = False
        self._response: Response | None = None
        self._retry_after_s = _RETRY_AFTER_S

    def ask(self, instance: InstanceId) -> None:
        """Take note that a target is asked."""
        self.tried |= {instance}
        self.asked += 1
        self.in_flight = True

    def take(self, reply: Reply) -> None:
        """Take note of what a target, or its node, said."""
        self.in_flight = False
        self._response = reply.response or self._response
        if reply.head.retry_after_s:
            self._retry_after_s = reply.head.retry_after_s
        if reply.head.ending is Ending.REFUSED:
            return
        self.arrivals += 1
        if reply.head.ending is not Ending.TURNED_AWAY:
            self._may_have_run = True
        self._was_answered = reply.head.ending is Ending.ANSWERED

    def final(self) -> Response:
        """Return the target's answer, or what is known without one."""
        if self._response is not None:
            return self._response
        if self._may_have_run:
            return Response(status=502)
        return self._not_run()

    def timed_out(self) -> Response:
        """Return the answer at the end of the time."""
        if self._may_have_run or self.in_flight:
            return Response(status=504)
        return self._not_run()

    def outcome(self) -> Outcome:
        """Return what is known of the work."""
        if self.in_flight:
            return Outcome.MAY_HAVE_RUN
        if self._was_answered:
            return Outcome.ANSWERED
        if self._may_have_run:
            return Outcome.MAY_HAVE_RUN
        return Outcome.NOT_RUN

    def patience_ms(self, call: Call, route: Route, now_s: float) -> int:
        """Return how long the next target may let the call wait.

        Fresh requests wait for a small part of their objective over all
        targets, the most important ones for half of it. Calls of targets
        wait for a part of their time, longer at each further target.
        """
        lineage = call.head.lineage
        if lineage.depth:
            further = (self.asked + 1) * _CALL_PATIENCE
            part = min(further, _MOST_CALL_PATIENCE)
            return int((call.expires_s - now_s) * part * _MS_PER_S)
        part = _FRESH_PATIENCE
        if lineage.importance is Importance.CRITICAL:
            part = _CRITICAL_PATIENCE
        left_s = self._began_s + route.objective_s * part - now_s
        return max(0, int(left_s * _MS_PER_S))

    def _not_run(self) -> Response:
        return refusal(min(self._retry_after_s, self._honoured_s))


def refusal(retry_after_s: float) -> Response:
    """Return the promise that a request has not run and won't."""
    return Response(
        status=503, headers=(('retry-after', f'{retry_after_s:.2f}'),)
    )
