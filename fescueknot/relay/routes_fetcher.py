"""Newer routes, fetched from the nodes that have them."""

import asyncio
import collections
import contextlib
import types
from collections.abc import Callable

import msgspec

from fescueknot.identity import Address
from fescueknot.relay.observer import Observer
from fescueknot.relay.peers import PeerNodes
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.updates import RoutesUpdate
from fescueknot.routing.messages import Tier

# Nodes that were heard of as having newer routes and are asked in turn.
_MOST_SOURCES = 4
# Routes are long and ways between regions dear: a nearer node that may have
# them soon is waited for, by where the nearest one that has them stands.
_WAIT_S_BY_TIER = types.MappingProxyType(
    {
        Tier.LOCAL_HOST: 0,
        Tier.FAILURE_DOMAIN: 0,
        Tier.REGION: 0.15,
        Tier.ELSEWHERE: 0.6,
    }
)


class _Source(msgspec.Struct, frozen=True, kw_only=True):
    """A node and the version that it has in force."""

    version: int
    node: Address | None


class RoutesFeed:
    """Asks nodes with a newer version for it; the store is the last resort.

    ``tier_of`` tells how far a node stands from here.
    ``taken`` is called after each version that was new here, ``read_store``
    when no node could hand over what was heard of.
    """

    def __init__(
        self,
        *,
        routes: RoutesInForce,
        peers: PeerNodes,
        observer: Observer,
        tier_of: Callable[[Address], Tier],
        taken: Callable[[], None],
        read_store: Callable[[], None],
    ) -> None:
        self._routes = routes
        self._peers = peers
        self._observer = observer
        self._tier_of = tier_of
        self._taken = taken
        self._read_store = read_store
        self._sources: collections.deque[_Source] = collections.deque(
            maxlen=_MOST_SOURCES
        )
        self._heard = asyncio.Event()

    def hear(self, version: int, node: Address | None) -> None:
        """Take note that a node has a version; ``None`` for an unknown one."""
        if version <= self._routes.version:
            return
        source = _Source(version=version, node=node)
        if source not in self._sources:
            self._sources.append(source)
        self._heard.set()

    async def run(self) -> None:
        """Fetch whenever something newer was heard of; runs for ever."""
        while True:
            await self._heard.wait()
            await self._wait_for_near()
            await self._catch_up()

    async def _catch_up(self) -> None:
        wanted = 0
        while self._sources:
            source = min(self._sources, key=self._distance)
            self._sources.remove(source)
            wanted = max(wanted, source.version)
            if source.version > self._routes.version and source.node:
                await self._fetch(source.node)
        if wanted > self._routes.version:
            self._read_store()

    async def _wait_for_near(self) -> None:
        """Wait for a nearer source than those that were heard of."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while self._sources:
            self._heard.clear()
            wait_s = _WAIT_S_BY_TIER[min(map(self._distance, self._sources))]
            left_s = began_s + wait_s - loop.time()
            if left_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._heard.wait(), left_s)
        self._heard.clear()

    def _distance(self, source: _Source) -> Tier:
        if source.node is None:
            return Tier.ELSEWHERE
        return self._tier_of(source.node)

    async def _fetch(self, node: Address) -> None:
        update = await self._peers.routes_after(node, self._routes.version)
        if update is None:
            return
        try:
            taken = self._routes.apply_update(update)
        except ValueError as error:
            self._observer.note(
                'routes.misfit', source=str(node), error=str(error)
            )
            return
        self._observer.note(
            'routes.offered',
            version=self._routes.version,
            taken=taken,
            source=str(node),
            steps=_steps(update),
        )
        if taken:
            self._taken()


def _steps(update: RoutesUpdate) -> int:
    """Return how many changes were handed over, 0 for all routes."""
    return len(update.deltas)
