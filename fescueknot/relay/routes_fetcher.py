"""Fetches newer routes from peers."""

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

# Peers with newer routes that are remembered; they are tried one by one.
_MAX_SOURCES = 4
# Routes are large and traffic between regions is costly, so a fetch from a
# distant peer is delayed: a nearer peer may have the routes soon. The delay
# depends on the tier of the nearest peer known to have them.
_WAIT_S_BY_TIER = types.MappingProxyType(
    {
        Tier.LOCAL_HOST: 0,
        Tier.FAILURE_DOMAIN: 0,
        Tier.REGION: 0.15,
        Tier.ELSEWHERE: 0.6,
    }
)


class _Source(msgspec.Struct, frozen=True, kw_only=True):
    """A peer and the version of its routes.

    ``node`` is ``None`` if the address of the peer isn't known.
    """

    version: int
    node: Address | None


class RoutesFetcher:
    """Fetches a newer version of the routes from a peer that has it.

    ``tier_of`` returns the tier of a peer as seen from this node.
    ``on_applied`` is called after each newer version was put in force,
    ``read_store`` if no peer supplied the newest version reported.
    """

    def __init__(
        self,
        *,
        routes: RoutesInForce,
        peers: PeerNodes,
        observer: Observer,
        tier_of: Callable[[Address], Tier],
        on_applied: Callable[[], None],
        read_store: Callable[[], None],
    ) -> None:
        self._routes = routes
        self._peers = peers
        self._observer = observer
        self._tier_of = tier_of
        self._on_applied = on_applied
        self._read_store = read_store
        self._sources: collections.deque[_Source] = collections.deque(
            maxlen=_MAX_SOURCES
        )
        self._version_reported = asyncio.Event()

    def record_version(self, version: int, node: Address | None) -> None:
        """Record that a peer has a version of the routes.

        ``node`` is ``None`` if the address of the peer isn't known.
        """
        if version <= self._routes.version:
            return
        source = _Source(version=version, node=node)
        if source not in self._sources:
            self._sources.append(source)
        self._version_reported.set()

    async def run(self) -> None:
        """Fetch whenever a newer version was reported, until cancelled."""
        if self._sources:
            self._version_reported.set()
        while True:
            await self._version_reported.wait()
            await self._wait_for_nearer_source()
            await self._catch_up()

    async def _catch_up(self) -> None:
        newest_version = 0
        while self._sources:
            source = min(self._sources, key=self._distance)
            self._sources.remove(source)
            newest_version = max(newest_version, source.version)
            if source.version > self._routes.version and source.node:
                await self._fetch(source.node)
        if newest_version > self._routes.version:
            self._read_store()

    async def _wait_for_nearer_source(self) -> None:
        """Wait up to the delay of the nearest source for a nearer one."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while self._sources:
            self._version_reported.clear()
            wait_s = _WAIT_S_BY_TIER[min(map(self._distance, self._sources))]
            remaining_s = began_s + wait_s - loop.time()
            if remaining_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._version_reported.wait(), remaining_s
                )
        self._version_reported.clear()

    def _distance(self, source: _Source) -> Tier:
        if source.node is None:
            return Tier.ELSEWHERE
        return self._tier_of(source.node)

    async def _fetch(self, node: Address) -> None:
        update = await self._peers.routes_after(node, self._routes.version)
        if update is None:
            return
        try:
            applied = self._routes.apply_update(update)
        except ValueError as error:
            self._observer.note(
                'routes.misfit', source=str(node), error=str(error)
            )
            return
        self._observer.note(
            'routes.offered',
            version=self._routes.version,
            taken=applied,
            source=str(node),
            steps=_delta_count(update),
        )
        if applied:
            self._on_applied()


def _delta_count(update: RoutesUpdate) -> int:
    """Return the number of deltas, 0 for an update with all routes."""
    return len(update.deltas)
