"""Handler of callers' requests: finds the route and tries targets."""

import asyncio

from fescueknot.calls import Importance
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.httpio.numbers import parse_count
from fescueknot.relay.answer_times import AnswerDeadlines, AnswerTimes
from fescueknot.relay.attempt_sender import AttemptSender
from fescueknot.relay.call_log import CallLog
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.intake import Intake, takes
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
from fescueknot.relay.request_attempts import RequestAttempts, not_run_response
from fescueknot.relay.runs import Lineage, LocalRuns
from fescueknot.relay.suspect_requests import SuspectRequests
from fescueknot.relay.target_selector import TargetSelector
from fescueknot.retries.shared_budget import MAX_URGENCY
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Route

_MS_PER_S = 1000
# Bounds the attempts of one request, refused attempts included.
_MAX_ATTEMPTS = 5
_STOPPING_RETRY_AFTER_S = 0.1
# Callers honour a Retry-After of up to a third of their remaining time.
_RETRY_AFTER_TIME_DIVISOR = 3
_NO_ROUTES_RETRY_AFTER_S = 0.5


class CallerHandler(Handler):
    """Answers root requests and the calls of the target on this host.

    ``service`` is that of the target.
    """

    def __init__(
        self,
        *,
        service: str,
        header_names: HeaderNames,
        routes: RoutesInForce,
        selector: TargetSelector,
        sender: AttemptSender,
        observer: Observer,
        runs: LocalRuns,
        suspects: SuspectRequests,
        levels: LevelsByRoute,
    ) -> None:
        self._service = service
        self._header_names = header_names
        self._routes = routes
        self._selector = selector
        self._sender = sender
        self._log = CallLog(observer=observer)
        self._runs = runs
        self._suspects = suspects
        self._levels = levels
        self._intake = Intake.EVERYTHING
        self._deadlines = AnswerDeadlines()

    def limit_intake(
        self, intake: Intake, answer_by_s: float | None = None
    ) -> None:
        """Take fewer requests from now on, as the node stops.

        All requests are answered by ``answer_by_s``, those that run too.
        """
        self._intake = intake
        if answer_by_s is not None:
            self._deadlines.end_by(answer_by_s)

    def limits(self) -> Limits:
        """Return the limits in force."""
        return self._routes.limits()

    def may_overlap(self, request: Request) -> bool:
        """Return whether the route of a request is idempotent."""
        route = self._route(request)
        return route is not None and route.idempotent

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return the answer to a request.

        503 while no routes are known or while the request is held back, 404
        without a matching route, 400 without a host or an attempt id.
        """
        if not self._routes.is_loaded:
            return not_run_response(_NO_ROUTES_RETRY_AFTER_S)
        if request.header('host') is None:
            return Response(status=400)
        route = self._route(request)
        if route is None:
            return Response(status=404)
        attempt = request.header(self._header_names.attempt)
        if attempt is None:
            return Response(status=400)
        held = self._suspects.held_request(request, self._service)
        if held is not None:
            self._log.quarantined(attempt, route, held)
            return not_run_response(held.left_s)
        return await self._answer_in_time(request, route)

    def _route(self, request: Request) -> Route | None:
        host = request.header('host') or ''
        return self._routes.find(host, request.target)

    async def _answer_in_time(self, request: Request, route: Route) -> Response:
        """Answer before the earlier of route timeout and caller's deadline."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        remaining_s = self._remaining_s(request, route)
        times = self._deadlines.times(
            began_s + min(remaining_s, route.timeout_s)
        )
        lineage = self._lineage(request, route, began_s + remaining_s)
        if not takes(self._intake, lineage, route):
            return not_run_response(_STOPPING_RETRY_AFTER_S)
        if self._should_shed(route, lineage, began_s):
            return self._shed_response(
                route, lineage, remaining_s / _RETRY_AFTER_TIME_DIVISOR
            )
        attempts = RequestAttempts(
            began_s=began_s,
            max_retry_after_s=remaining_s / _RETRY_AFTER_TIME_DIVISOR,
        )
        service = self._routes.choose_service(route)
        call = Call(
            head=self._head(request, route, lineage, times),
            request=request,
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
        if lineage.depth and response.status >= FIRST_FAILURE_STATUS:
            self._runs.record_failed_call(
                call.head.attempt, began_s + remaining_s
            )
        elapsed_s = loop.time() - began_s
        self._log.ended(call, service, attempts, response, elapsed_s)
        return response

    def _remaining_s(self, request: Request, route: Route) -> float:
        """Return the caller's remaining time; default: the route's timeout."""
        left_ms = parse_count(request.header(self._header_names.remaining_ms))
        return route.timeout_s if left_ms is None else left_ms / _MS_PER_S

    def _lineage(
        self, request: Request, route: Route, expires_s: float
    ) -> Lineage:
        """Return the lineage of a request, inherited from its parent run."""
        root_lineage = Lineage(
            root=request.header(self._header_names.attempt) or '',
            importance=route.importance,
        )
        return self._runs.inherited_lineage(root_lineage, route.name, expires_s)

    def _should_shed(
        self, route: Route, lineage: Lineage, now_s: float
    ) -> bool:
        """Return whether a root request would be refused downstream."""
        if lineage.depth or lineage.importance is Importance.CRITICAL:
            return False
        return self._levels.refuses(
            route.name, lineage.importance, lineage.root, now_s
        )

    def _shed_response(
        self, route: Route, lineage: Lineage, max_retry_after_s: float
    ) -> Response:
        now_s = asyncio.get_running_loop().time()
        retry_after_s = self._levels.record_refusal(
            route.name, lineage.root, now_s
        )
        self._log.shed(route, lineage)
        return not_run_response(min(retry_after_s, max_retry_after_s))

    def _head(
        self,
        request: Request,
        route: Route,
        lineage: Lineage,
        times: AnswerTimes,
    ) -> CallHead:
        return CallHead(
            attempt=request.header(self._header_names.attempt) or '',
            instance='',
            started_ms=0,
            idempotent=route.idempotent,
            route=route.name,
            lineage=lineage,
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
        loop = asyncio.get_running_loop()
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
            now_s = asyncio.get_running_loop().time()
            if not self._levels.is_open(route.name, now_s):
                return False
        if attempts.at_target >= route.attempts or _has_expired(call):
            return False
        urgency = _retry_urgency(call, self._runs)
        return self._selector.retry_budget(service).spend(urgency)


def _has_expired(call: Call) -> bool:
    """Return whether the deadline is over that targets are told."""
    return call.expires_s <= asyncio.get_running_loop().time()


def _retry_urgency(call: Call, runs: LocalRuns) -> float:
    """Return the urgency of retrying a call, for the retry budget.

    It grows with the progress of the parent run: if a late call fails, more
    completed work is lost with it.
    """
    if call.head.lineage.importance is Importance.CRITICAL:
        return MAX_URGENCY
    return runs.progress(call.head.attempt, call.expires_s)
