"""The node of a caller: finds the route, tries targets, gives an answer."""

import asyncio
from collections.abc import Callable

import msgspec

from fescueknot.calls import Importance
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.identity import Address
from fescueknot.relay.call_log import CallLog
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.header_names import HeaderNames
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
from fescueknot.relay.peers import PeerNodes
from fescueknot.relay.request_attempts import RequestAttempts, refusal
from fescueknot.relay.runs import Lineage, LocalRuns
from fescueknot.relay.target_selector import Destination, TargetSelector
from fescueknot.retries.shared_budget import MAX_URGENCY
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Route

_MS_PER_S = 1000
# Targets asked for one request, counting those that refuse without work.
_MOST_ASKED = 5
_STOPPING_RETRY_AFTER_S = 0.1
# Callers wait as told for up to this part of the time they have.
_HONOURED_PART = 3
_NO_ROUTES_RETRY_AFTER_S = 0.5
# Refusals that show an entry of the directory to be out of date.
_OUTDATED = frozenset((RefusedFor.OTHER_TARGET, RefusedFor.NO_TARGET))


class LocalNode(msgspec.Struct, frozen=True, kw_only=True):
    """Where calls begin: the own node's port for peers, the own service."""

    node: Address
    service: str


class CallerHandler(Handler):
    """Answers callers and the calls of this host's own target."""

    def __init__(
        self,
        *,
        local_node: LocalNode,
        header_names: HeaderNames,
        routes: RoutesInForce,
        selector: TargetSelector,
        gatekeeper: Gatekeeper,
        peers: PeerNodes,
        observer: Observer,
        runs: LocalRuns,
        levels: LevelsByRoute,
        on_routes_version: Callable[[int, Address], None],
        on_outdated_entry: Callable[[], None],
    ) -> None:
        self._local_node = local_node
        self._header_names = header_names
        self._routes = routes
        self._selector = selector
        self._gatekeeper = gatekeeper
        self._peers = peers
        self._log = CallLog(observer=observer)
        self._runs = runs
        self._levels = levels
        self._on_routes_version = on_routes_version
        self._on_outdated_entry = on_outdated_entry
        self.refuses_root_requests = False

    def limits(self) -> Limits:
        """Return the limits in force."""
        return self._routes.limits()

    def may_overlap(self, request: Request) -> bool:
        """Tell whether a request may be repeated."""
        route = self._route(request)
        return route is not None and route.idempotent

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return the answer to a request."""
        if not self._routes.is_loaded:
            return refusal(_NO_ROUTES_RETRY_AFTER_S)
        if request.header('host') is None:
            return Response(status=400)
        route = self._route(request)
        if route is None:
            return Response(status=404)
        attempt = request.header(self._header_names.attempt)
        if attempt is None:
            return Response(status=400)
        return await self._bounded(request, route)

    def _route(self, request: Request) -> Route | None:
        host = request.header('host') or ''
        return self._routes.find(host, request.target)

    async def _bounded(self, request: Request, route: Route) -> Response:
        """Answer within the route's timeout and the caller's deadline."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        given_s = self._given_s(request, route)
        expires_s = began_s + min(given_s, route.timeout_s)
        lineage = self._lineage(request, route, began_s + given_s)
        if self.refuses_root_requests and not lineage.depth:
            return refusal(_STOPPING_RETRY_AFTER_S)
        if self._sheds(route, lineage, began_s):
            return self._shed(route, lineage, given_s / _HONOURED_PART)
        attempts = RequestAttempts(
            began_s=began_s,
            honoured_s=given_s / _HONOURED_PART,
        )
        service = self._routes.choose_service(route)
        call = Call(
            head=self._head(request, route, lineage),
            request=request,
            expires_s=expires_s,
        )
        try:
            async with asyncio.timeout_at(expires_s):
                response = await self._try_targets(
                    call, service, route, attempts
                )
        except TimeoutError:
            response = attempts.timed_out()
        except asyncio.CancelledError:
            self._log.abandoned(call, service, attempts, loop.time() - began_s)
            raise
        if lineage.depth and response.status >= FIRST_FAILURE_STATUS:
            self._runs.call_failed(call.head.attempt, began_s + given_s)
        took_s = loop.time() - began_s
        self._log.ended(call, service, attempts, response, took_s)
        return response

    def _given_s(self, request: Request, route: Route) -> float:
        """Return how long the caller will wait."""
        given = request.header(self._header_names.remaining_ms) or ''
        return int(given) / _MS_PER_S if given.isdigit() else route.timeout_s

    def _lineage(
        self, request: Request, route: Route, expires_s: float
    ) -> Lineage:
        """Return what a request inherits from the run that made it."""
        own = Lineage(
            root=request.header(self._header_names.attempt) or '',
            importance=route.importance,
        )
        return self._runs.lineage(own, route.name, expires_s)

    def _sheds(self, route: Route, lineage: Lineage, now_s: float) -> bool:
        """Tell whether a fresh request would be refused deep below."""
        if lineage.depth or lineage.importance is Importance.CRITICAL:
            return False
        return self._levels.refuses(
            route.name, lineage.importance, lineage.root, now_s
        )

    def _shed(
        self, route: Route, lineage: Lineage, honoured_s: float
    ) -> Response:
        now_s = asyncio.get_running_loop().time()
        retry_after_s = self._levels.retry_after_s(
            route.name, lineage.root, now_s
        )
        self._log.shed(route, lineage)
        return refusal(min(retry_after_s, honoured_s))

    def _head(
        self, request: Request, route: Route, lineage: Lineage
    ) -> CallHead:
        return CallHead(
            attempt=request.header(self._header_names.attempt) or '',
            instance='',
            started_ms=0,
            idempotent=route.idempotent,
            route=route.name,
            lineage=lineage,
            remaining_ms=0,
            patience_ms=0,
            caller_service=self._local_node.service,
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
        self._levels.passed(route.name, loop.time())
        while attempts.asked < _MOST_ASKED:
            now_s = loop.time()
            destination = self._selector.pick(
                service,
                now_s,
                attempts.tried,
                lineage=call.head.lineage,
                left_s=call.expires_s - now_s,
            )
            if destination is None:
                break
            reply = await self._ask(call, service, route, destination, attempts)
            if not self._goes_on(reply, call, service, route, attempts):
                break
        return attempts.final()

    async def _ask(
        self,
        call: Call,
        service: str,
        route: Route,
        destination: Destination,
        attempts: RequestAttempts,
    ) -> Reply:
        loop = asyncio.get_running_loop()
        instance = destination.instance
        lineage = msgspec.structs.replace(
            call.head.lineage,
            repeat=call.head.lineage.repeat or attempts.arrivals > 0,
        )
        head = msgspec.structs.replace(
            call.head,
            instance=instance.name,
            started_ms=instance.incarnation,
            lineage=lineage,
            patience_ms=attempts.patience_ms(call, route, loop.time()),
        )
        addressed = msgspec.structs.replace(call, head=head)
        attempts.ask(instance)
        began_s = loop.time()
        self._selector.started(service, instance, began_s)
        reply = None
        try:
            reply = await self._send(addressed, destination.node)
        finally:
            now_s = loop.time()
            self._selector.finished(
                service, instance, reply, now_s - began_s, now_s
            )
        self._levels.note(
            route.name, instance.name, reply.head.level_rank, now_s
        )
        self._on_routes_version(reply.head.version, destination.node)
        if reply.head.refused_for in _OUTDATED:
            self._on_outdated_entry()
        self._log.replied(addressed, service, reply, now_s - began_s)
        return reply

    async def _send(self, call: Call, node: Address) -> Reply:
        if node == self._local_node.node:
            return await self._gatekeeper.run(call)
        return await self._peers.send(call, node)

    def _goes_on(
        self,
        reply: Reply,
        call: Call,
        service: str,
        route: Route,
        attempts: RequestAttempts,
    ) -> bool:
        """Take a reply; return whether another target is to be asked."""
        attempts.take(reply)
        if reply.head.ending is Ending.REFUSED:
            return True
        if reply.head.ending is not Ending.TURNED_AWAY:
            if reply.is_success or not call.head.idempotent:
                return False
            if reply.head.failed_below:
                # What failed was repeated there, as far as the budget goes.
                return False
            now_s = asyncio.get_running_loop().time()
            if not self._levels.is_open(route.name, now_s):
                return False
        if attempts.arrivals >= route.attempts:
            return False
        urgency = _urgency(call, self._runs)
        return self._selector.retry_budget(service).spend(urgency)


def _urgency(call: Call, runs: LocalRuns) -> float:
    """Return how much a repeat of a call saves, for the retry budget.

    The later a call of a run, the more work is lost with it.
    """
    if call.head.lineage.importance is Importance.CRITICAL:
        return MAX_URGENCY
    return runs.progress(call.head.attempt, call.expires_s)
