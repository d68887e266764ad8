"""Sends the attempts of a request to targets and records their replies."""

from collections.abc import Callable

import msgspec

from fescueknot.identity import Address
from fescueknot.relay.call_log import CallLog
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import Call, RefusedFor, Reply
from fescueknot.relay.observer import Observer
from fescueknot.relay.peers import PeerNodes
from fescueknot.relay.request_attempts import RequestAttempts
from fescueknot.relay.target_selector import Destination, TargetSelector
from fescueknot.routes.messages import Route
from fescueknot.running_loop import running_loop

# Refusals which show that an entry of the target directory is out of date.
_OUTDATED_ENTRY_REFUSALS = frozenset(
    (RefusedFor.OTHER_TARGET, RefusedFor.NO_TARGET)
)


class AttemptSender:
    """Sends attempts to the local target or to the nodes of others.

    ``on_routes_version`` receives the version of the routes at a node that
    has replied. ``on_outdated_entry`` is called when a refusal shows that an
    entry of the target directory is out of date.
    """

    def __init__(
        self,
        *,
        local_address: Address,
        selector: TargetSelector,
        gatekeeper: Gatekeeper,
        peers: PeerNodes,
        levels: LevelsByRoute,
        observer: Observer,
        on_routes_version: Callable[[int, Address], None],
        on_outdated_entry: Callable[[], None],
    ) -> None:
        self._local_address = local_address
        self._selector = selector
        self._gatekeeper = gatekeeper
        self._peers = peers
        self._levels = levels
        self._log = CallLog(observer=observer)
        self._on_routes_version = on_routes_version
        self._on_outdated_entry = on_outdated_entry

    async def send(
        self,
        call: Call,
        service: str,
        route: Route,
        destination: Destination,
        attempts: RequestAttempts,
    ) -> Reply:
        """Send a call to a target, and record its reply or cancellation."""
        loop = running_loop()
        instance = destination.instance
        lineage = msgspec.structs.replace(
            call.head.lineage,
            repeat=call.head.lineage.repeat or attempts.at_target > 0,
        )
        head = msgspec.structs.replace(
            call.head,
            instance=instance.name,
            started_ms=instance.incarnation,
            lineage=lineage,
            max_wait_ms=attempts.max_wait_ms(call, route, loop.time()),
            rate_limit_per_s=self._selector.announcements.rate_limit_per_s(
                instance
            ),
            is_foreign=destination.is_foreign,
        )
        addressed_call = msgspec.structs.replace(call, head=head)
        attempts.record_sent(instance)
        began_s = loop.time()
        self._selector.started(service, instance, began_s)
        reply = None
        try:
            reply = await self._transmit(addressed_call, destination.node)
        finally:
            now_s = loop.time()
            self._selector.finished(
                service, instance, reply, now_s - began_s, now_s
            )
        self._levels.record(
            route.name,
            instance.name,
            reply.head.level_rank,
            now_s,
            slots=reply.head.limit,
        )
        self._on_routes_version(reply.head.version, destination.node)
        if reply.head.refused_for in _OUTDATED_ENTRY_REFUSALS:
            self._on_outdated_entry()
        self._log.replied(addressed_call, service, reply, now_s - began_s)
        return reply

    async def _transmit(self, call: Call, node: Address) -> Reply:
        if node == self._local_address:
            return await self._gatekeeper.submit(call)
        return await self._peers.send(call, node)
