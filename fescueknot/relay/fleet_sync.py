"""How a node learns of the fleet and of routes, and tells others."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from fescueknot.gossip.known_peers import KnownPeers
from fescueknot.gossip.protocol import GossipProtocol
from fescueknot.gossip.replica import Replica
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.messages import StoredObject
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.gossiper import Gossiper
from fescueknot.relay.header_names import ROUTES_HEADER, TARGETS_HEADER
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.observer import Observer
from fescueknot.relay.peers import PeerNodes
from fescueknot.relay.routes_fetcher import RoutesFeed
from fescueknot.relay.settings import RelaySettings, parsed
from fescueknot.relay.store_followers import StoreReadings
from fescueknot.relay.store_reader import StoreReader
from fescueknot.relay.store_subscribers import (
    ConfigurationSubscriber,
    DirectorySubscriber,
    DirectoryUpdater,
    document_of,
)
from fescueknot.relay.target_selector import TargetSelector
from fescueknot.relay.targets_fetcher import TargetCopies
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routing.messages import Tier
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.messages import TargetEntry
from fescueknot.targets.publisher import TARGETS_KIND, EntryPublisher


class FleetNews:
    """Replica, gossip and readings of the store of one node.

    ``own_changed`` is called with the own entry when it has changed.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        adapter: Adapter,
        routes: RoutesInForce,
        directory: TargetDirectory,
        selector: TargetSelector,
        peers: PeerNodes,
        observer: Observer,
        metrics: NodeMetrics,
        rng: random.Random,
        own_changed: Callable[[TargetEntry | None], None],
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._directory = directory
        self._observer = observer
        self._metrics = metrics
        self._rng = rng
        self._own_changed = own_changed
        self._replica = Replica(version=lambda: routes.version)
        known_peers = KnownPeers(name=settings.node, place=settings.place)
        self._gossiper = Gossiper(
            protocol=GossipProtocol(name=settings.node, replica=self._replica),
            known_peers=known_peers,
            directory=directory,
            observer=observer,
            rng=rng,
            changed=self._changed,
            hear_version=self._hear_partner,
        )
        self._updater = DirectoryUpdater(
            replica=self._replica,
            directory=directory,
            selector=selector,
            observer=observer,
        )
        self._targets_subscriber = DirectorySubscriber(
            kind=TARGETS_KIND,
            replica=self._replica,
            observer=observer,
            read=self._changed,
        )
        self._readings = StoreReadings(
            adapter=adapter,
            address=parsed(settings.object_store),
            routes=ConfigurationSubscriber(
                adapter=adapter,
                routes=routes,
                observer=observer,
                taken=self._gossiper.tell_soon,
            ),
            targets=self._targets_subscriber,
            rng=rng,
            count=self._count,
            evidence=self._replica.evidence,
        )
        self._reader = StoreReader(
            readings=self._readings,
            replica=self._replica,
            known_peers=known_peers,
            gossips=bool(settings.ports.gossip),
            observer=observer,
            rng=rng,
        )
        self._copies = TargetCopies(
            replica=self._replica,
            directory=directory,
            peers=peers,
            changed=self._changed,
        )
        self._feed = RoutesFeed(
            routes=routes,
            peers=peers,
            observer=observer,
            tier_of=self._tier_of,
            taken=self._gossiper.tell_soon,
            read_store=self._read_routes,
        )
        self.publisher = EntryPublisher(
            store=self._readings.counted('write'),
            node=settings.node,
            rng=rng,
            note=observer.note,
            on_write=self._wrote,
        )

    @property
    def revision(self) -> int:
        """Return the revision of the store up to which all is held."""
        return self._replica.log.cursor

    def evidence_age_s(self) -> float:
        """Return how long ago the routes were known to be the newest."""
        now_s = asyncio.get_running_loop().time()
        return self._replica.evidence.age_s(now_s)

    def counted(self, reason: str) -> AsyncObjectStore:
        """Return the store; calls are counted for a reason."""
        return self._readings.counted(reason)

    async def begin(self) -> bool:
        """Read what a node starts with; return whether after an outage."""
        if self._settings.ports.gossip:
            await self._gossiper.listen(parsed(self._settings.ports.gossip))
        await self._reader.start()
        return self._targets_subscriber.after_outage

    async def run(self) -> None:
        """Keep up to date; runs for ever."""
        self._gossiper.ask_some()
        await asyncio.gather(
            self._gossiper.run(),
            self._reader.run(),
            self._feed.run(),
            self._copies.run(),
        )

    def hear_version(self, version: int, node: Address) -> None:
        """Take note of the version that a node has in force."""
        self._feed.hear(version, node)

    def hear_version_of(self, version: int, host: str) -> None:
        """Take note of the version of a node that is known by its host."""
        if version > self._routes.version:
            known = self._directory.addresses()
            found = (one for one in known if one.host == host)
            self._feed.hear(version, next(found, None))

    def after(self) -> dict[str, Callable[[int], msgspec.Struct]]:
        """Return what is handed over to nodes, by the header they send."""
        return {
            ROUTES_HEADER: self._routes.update_since,
            TARGETS_HEADER: lambda revision: self._replica.export(
                after=revision
            ),
        }

    def outdated(self) -> None:
        """Ask others at once: an entry was found out of date."""
        self._gossiper.ask_some()

    def _tier_of(self, node: Address) -> Tier:
        entry = self._directory.entry_at(node)
        if entry is None or entry.place.region != self._settings.region:
            return Tier.ELSEWHERE
        near = entry.place == self._settings.place
        return Tier.FAILURE_DOMAIN if near else Tier.REGION

    def _count(self, reason: str) -> None:
        self._metrics.note('store.call', {'reason': reason})

    def _hear_partner(self, version: int, name: str) -> None:
        entry = self._directory.entry_of(name)
        self._feed.hear(version, entry.node if entry else None)

    def _read_routes(self) -> None:
        asyncio.ensure_future(self._readings.routes_now.read())

    def _wrote(self, stored: StoredObject) -> None:
        self._replica.record_write(document_of(stored))
        self._changed()

    def _changed(self) -> None:
        self._copies.look()
        own = self._settings.node
        nodes = self._updater.update()
        if nodes:
            self._gossiper.refresh()
        if self._replica.has_rumours:
            self._gossiper.tell_soon()
        if own in nodes:
            self._own_changed(self._directory.entry_of(own))
