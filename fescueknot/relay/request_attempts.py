"""Attempts made for one request, and the answer that results from them."""

import enum
import math

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Response
from fescueknot.identity import InstanceId
from fescueknot.relay.messages import Call, Ending, RefusedFor, Reply
from fescueknot.routes.messages import Route

_MS_PER_S = 1000
_DEFAULT_RETRY_AFTER_S = 0.5
# Fractions of the latency objective that a root request may wait in queues.
_ROOT_WAIT_FRACTION = 0.12
_CRITICAL_ROOT_WAIT_FRACTION = 0.5
# Fractions of the remaining time that a call of a target may wait in queues.
_CALL_WAIT_FRACTION_PER_ATTEMPT = 0.2
_MAX_CALL_WAIT_FRACTION = 0.5


class Outcome(enum.StrEnum):
    """Whether a request has run, as known when it ends.

    ``ANSWERED``: the target has answered, with any status. ``NOT_RUN``: the
    request has not run and never will.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


class RequestAttempts:
    """Attempts made for one request, and their replies.

    ``tried`` holds the targets that were tried, ``sent`` counts the attempts
    and ``at_target`` those that the target's node has not refused.
    ``in_flight`` is true while an attempt has no reply.
    ``max_retry_after_s`` is the longest Retry-After that the caller honours.
    A request that is held back is told the whole time all the same, so that
    nobody sends it again sooner.
    """

    def __init__(self, *, began_s: float, max_retry_after_s: float) -> None:
        self.tried: frozenset[InstanceId] = frozenset()
        self.at_target = 0
        self.sent = 0
        self.in_flight = False
        self._began_s = began_s
        self._max_retry_after_s = max_retry_after_s
        self._may_have_run = False
        self._was_answered = False
        self._response: Response | None = None
        self._retry_after_s = _DEFAULT_RETRY_AFTER_S

    def record_sent(self, instance: InstanceId) -> None:
        """Record that an attempt is sent to a target."""
        self.tried |= {instance}
        self.sent += 1
        self.in_flight = True

    def record_reply(self, reply: Reply) -> None:
        """Record the reply of a target or of its node."""
        self.in_flight = False
        self._response = reply.response or self._response
        if reply.head.retry_after_s:
            self._retry_after_s = reply.head.retry_after_s
        if reply.head.refused_for is RefusedFor.QUARANTINED:
            self._max_retry_after_s = math.inf
        if reply.head.ending is Ending.REFUSED:
            return
        self.at_target += 1
        if reply.head.ending is not Ending.TURNED_AWAY:
            self._may_have_run = True
        self._was_answered = reply.head.ending is Ending.ANSWERED

    def final_response(self) -> Response:
        """Return the target's answer; without one, 502 or 503.

        502 means that the request may have run, 503 that it has not.
        """
        if self._response is not None:
            return self._response
        if self._may_have_run:
            return Response(status=502)
        return self._not_run_response()

    def timeout_response(self) -> Response:
        """Return the answer after a timeout.

        504 means that the request may have run, 503 that it has not.
        """
        if self._may_have_run or self.in_flight:
            return Response(status=504)
        return self._not_run_response()

    def outcome(self) -> Outcome:
        """Return whether the request has run."""
        if self.in_flight:
            return Outcome.MAY_HAVE_RUN
        if self._was_answered:
            return Outcome.ANSWERED
        if self._may_have_run:
            return Outcome.MAY_HAVE_RUN
        return Outcome.NOT_RUN

    def max_wait_ms(self, call: Call, route: Route, now_s: float) -> int:
        """Return the maximum queue wait of the call at the next target.

        Root requests wait for a small fraction of their latency objective in
        total over all targets, critical root requests for half of it. Calls
        of targets wait for a fraction of their remaining time, which grows
        with each attempt.
        """
        lineage = call.head.lineage
        if lineage.depth:
            uncapped = (self.sent + 1) * _CALL_WAIT_FRACTION_PER_ATTEMPT
            fraction = min(uncapped, _MAX_CALL_WAIT_FRACTION)
            return int((call.expires_s - now_s) * fraction * _MS_PER_S)
        fraction = _ROOT_WAIT_FRACTION
        if lineage.importance is Importance.CRITICAL:
            fraction = _CRITICAL_ROOT_WAIT_FRACTION
        remaining_s = self._began_s + route.objective_s * fraction - now_s
        return max(0, int(remaining_s * _MS_PER_S))

    def _not_run_response(self) -> Response:
        return not_run_response(
            min(self._retry_after_s, self._max_retry_after_s)
        )


def not_run_response(retry_after_s: float) -> Response:
    """Return a 503: the request has not run and will not run."""
    return Response(
        status=503, headers=(('retry-after', f'{retry_after_s:.2f}'),)
    )
