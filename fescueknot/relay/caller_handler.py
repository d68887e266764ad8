"""Handler of callers' requests: finds the route and tries targets."""

import asyncio

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.relay.answer_times import AnswerDeadlines, AnswerTimes
from fescueknot.relay.arrival import Arrival, ArrivalReader
from fescueknot.relay.attempt_sender import AttemptSender
from fescueknot.relay.call_log import CallLog
from fescueknot.relay.intake import Intake
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import (
    FIRST_FAILURE_STATUS,
    Call,
    CallHead,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.observer import Observer
from fescueknot.relay.refusal import max_retry_after_s
from fescueknot.relay.request_attempts import Outcome, RequestAttempts
from fescueknot.relay.request_checks import RequestChecks
from fescueknot.relay.retry_urgency import retry_urgency
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.target_selector import TargetSelector
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Route
from fescueknot.running_loop import running_loop

# Bounds the attempts of one request, refused attempts included.
_MAX_ATTEMPTS = 5


class CallerHandler(Handler):
    """Answers root requests and the calls of the target on this host.

    ``service`` is that of the target.
    """

    def __init__(
        self,
        *,
        service: str,
        arrivals: ArrivalReader,
        checks: RequestChecks,
        routes: RoutesInForce,
        selector: TargetSelector,
        sender: AttemptSender,
        observer: Observer,
        runs: LocalRuns,
        levels: LevelsByRoute,
    ) -> None:
        self._service = service
        self._arrivals = arrivals
        self._checks = checks
        self._routes = routes
        self._selector = selector
        self._sender = sender
        self._log = CallLog(observer=observer)
        self._runs = runs
        self._levels = levels
        self._deadlines = AnswerDeadlines()

    def limit_intake(
        self, intake: Intake, answer_by_s: float | None = None
    ) -> None:
        """Take fewer requests from now on, as the node stops.

        All requests are answered by ``answer_by_s``, those that run too.
        """
        self._checks.limit_intake(intake)
        if answer_by_s is not None:
            self._deadlines.end_by(answer_by_s)

    def limits(self) -> Limits:
        """Return the limits in force."""
        return self._routes.limits()

    def may_overlap(self, request: Request) -> bool:
        """Return whether the route of a request is idempotent."""
        route = self._arrivals.route(request)
        return route is not None and route.idempotent

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return the answer to a request, or its refusal by a check."""
        arrival = self._arrivals.read(request)
        refusal = await self._checks.refusal(arrival)
        if refusal is not None:
            self._log.refused(refusal)
            return refusal.response
        return await self._answer_in_time(arrival)

    async def _answer_in_time(self, arrival: Arrival) -> Response:
        """Answer before the earlier of route timeout and caller's deadline."""
        loop = running_loop()
        route = arrival.route
        began_s = arrival.began_s
        expires_s = began_s + arrival.remaining_s
        times = self._deadlines.times(min(expires_s, began_s + route.timeout_s))
        attempts = RequestAttempts(
            began_s=began_s, max_retry_after_s=max_retry_after_s(arrival)
        )
        service = self._routes.choose_service(route)
        call = Call(
            head=self._head(arrival, times),
            request=arrival.request,
            expires_s=times.expires_s,
        )
        try:
            async with self._deadlines.timeout(times):
                response = await self._try_targets(
                    call, service, route, attempts
                )
        except TimeoutError:
            response = attempts.timeout_response()
        except asyncio.CancelledError:
            self._log.abandoned(call, service, attempts, loop.time() - began_s)
            raise
        finally:
            if attempts.outcome() is Outcome.NOT_RUN:
                self._checks.give_back(arrival)
        if arrival.lineage.depth and response.status >= FIRST_FAILURE_STATUS:
            self._runs.record_failed_call(call.head.attempt, expires_s)
        elapsed_s = loop.time() - began_s
        self._log.ended(call, service, attempts, response, elapsed_s)
        return response

    def _head(self, arrival: Arrival, times: AnswerTimes) -> CallHead:
        route = arrival.route
        return CallHead(
            attempt=arrival.attempt or '',
            instance='',
            started_ms=0,
            idempotent=route.idempotent,
            route=route.name,
            lineage=arrival.lineage,
            remaining_ms=0,
            max_wait_ms=0,
            answer_margin_ms=times.answer_margin_ms,
            caller_service=self._service,
            version=self._routes.version,
        )

    async def _try_targets(
        self, call: Call, service: str, route: Route, attempts: RequestAttempts
    ) -> Response:
        budget = self._selector.retry_budget(service)
        budget.earn(self._selector.node_count)
        if call.head.lineage.repeat:
            budget.charge()
        loop = running_loop()
        self._levels.record_admitted(route.name, loop.time())
        while attempts.sent < _MAX_ATTEMPTS:
            now_s = loop.time()
            destination = self._selector.pick(
                service,
                now_s,
                attempts.tried,
                lineage=call.head.lineage,
                remaining_s=call.expires_s - now_s,
            )
            if destination is None:
                break
            reply = await self._sender.send(
                call, service, route, destination, attempts
            )
            if not self._should_try_next(reply, call, service, route, attempts):
                break
        return attempts.final_response()

    def _should_try_next(
        self,
        reply: Reply,
        call: Call,
        service: str,
        route: Route,
        attempts: RequestAttempts,
    ) -> bool:
        """Record a reply and return whether to try another target."""
        attempts.record_reply(reply)
        if reply.head.ending is Ending.REFUSED:
            return reply.head.refused_for is not RefusedFor.QUARANTINED
        if reply.head.ending is not Ending.TURNED_AWAY:
            if reply.is_success or not call.head.idempotent:
                return False
            if reply.head.failed_below:
                # The target's node has already retried the failed call within
                # the retry budget.
                return False
            now_s = running_loop().time()
            if not self._levels.is_open(route.name, now_s):
                return False
        if attempts.at_target >= route.attempts or _has_expired(call):
            return False
        urgency = retry_urgency(call, self._runs)
        return self._selector.retry_budget(service).spend(urgency)


def _has_expired(call: Call) -> bool:
    """Return whether the deadline is over that targets are told."""
    return call.expires_s <= running_loop().time()
