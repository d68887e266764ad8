"""Synchronises target entries and routes with peers and the store."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from fescueknot.gossip.freshness import FreshnessBounds
from fescueknot.gossip.known_peers import KnownPeers
from fescueknot.gossip.protocol import GossipProtocol
from fescueknot.gossip.replica import Replica
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.messages import StoredObject
from fescueknot.objectapi.revisions import counter_of, era_of
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.datagram_exchange import DatagramExchange
from fescueknot.relay.gossip_port import DatagramPort
from fescueknot.relay.gossiper import Gossiper
from fescueknot.relay.header_names import ROUTES_HEADER, TARGETS_HEADER
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.observer import Observer
from fescueknot.relay.peer_lookup import PeerLookup
from fescueknot.relay.peers import PeerNodes
from fescueknot.relay.routes_fetcher import RoutesFetcher
from fescueknot.relay.routes_status import RoutesStatus
from fescueknot.relay.settings import RelaySettings, parse_address
from fescueknot.relay.store_followers import StoreFollowers
from fescueknot.relay.store_reader import StoreReader
from fescueknot.relay.store_subscribers import (
    ConfigurationSubscriber,
    DirectorySubscriber,
    DirectoryUpdater,
    document_of,
)
from fescueknot.relay.supervisor import Supervisor
from fescueknot.relay.target_selector import TargetSelector
from fescueknot.relay.targets_fetcher import TargetsFetcher
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.messages import TargetEntry
from fescueknot.targets.publisher import TARGETS_KIND, EntryPublisher

# Writes of all nodes together after the store has lost some.
_REWRITES_PER_S = 200


class FleetSync:
    """Keeps a node's target directory and routes up to date.

    Connects the replica of the target entries, gossip, the fetchers of peers'
    updates and the followers of the store. ``on_local_entry_change`` is
    called with this node's entry when that entry has changed in the replica,
    with ``None`` if it was removed or can't be read. ``on_new_era`` is called
    when the store has come back from an older copy.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        adapter: Adapter,
        port: DatagramPort,
        routes: RoutesInForce,
        directory: TargetDirectory,
        selector: TargetSelector,
        peers: PeerNodes,
        observer: Observer,
        metrics: NodeMetrics,
        rng: random.Random,
        exchanges: tuple[DatagramExchange, ...],
        on_local_entry_change: Callable[[TargetEntry | None], None],
        on_new_era: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._directory = directory
        self._observer = observer
        self._metrics = metrics
        self._rng = rng
        self._on_local_entry_change = on_local_entry_change
        self._on_new_era = on_new_era
        self._era = StoreEra(on_rise=self._record_new_era)
        self._supervisor = Supervisor(observer=observer, rng=rng)
        self._replica = Replica(version=lambda: routes.version)
        self._lookup = PeerLookup(directory=directory, place=settings.place)
        freshness = FreshnessBounds(in_force_s=settings.bounds.in_force_s)
        self.status = RoutesStatus(
            max_age_s=freshness.max_age_s,
            evidence=self._replica.evidence,
            routes=routes,
            directory=directory,
            observer=observer,
        )
        known_peers = KnownPeers(name=settings.node, place=settings.place)
        self._gossiper = Gossiper(
            port=port,
            protocol=GossipProtocol(name=settings.node, replica=self._replica),
            known_peers=known_peers,
            directory=directory,
            observer=observer,
            rng=rng,
            exchanges=exchanges,
            status=self.status,
            freshness=freshness,
            on_change=self._replica_changed,
            on_routes_version=self._record_peer_version,
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
            on_change=self._replica_changed,
        )
        self._followers = StoreFollowers(
            adapter=adapter,
            address=parse_address(settings.object_store),
            routes=ConfigurationSubscriber(
                adapter=adapter,
                routes=routes,
                observer=observer,
                on_applied=self._gossiper.schedule_push,
            ),
            targets=self._targets_subscriber,
            watch_s=freshness.watch_s,
            rng=rng,
            count=self._count_store_call,
            evidence=self._replica.evidence,
            era=self._era,
        )
        self._reader = StoreReader(
            followers=self._followers,
            known_peers=known_peers,
            gossips=bool(settings.ports.gossip),
            check_interval_s=freshness.check_interval_s,
            status=self.status,
            supervisor=self._supervisor,
            observer=observer,
            rng=rng,
        )
        self._targets_fetcher = TargetsFetcher(
            replica=self._replica,
            directory=directory,
            peers=peers,
            on_change=self._replica_changed,
        )
        self._routes_fetcher = RoutesFetcher(
            routes=routes,
            peers=peers,
            observer=observer,
            tier_of=self._lookup.tier_of,
            on_applied=self._gossiper.schedule_push,
            read_store=self._reader.request_read,
        )
        self.publisher = EntryPublisher(
            store=self._followers.counted_store('write'),
            node=settings.node,
            rng=rng,
            note=observer.note,
            on_write=self._entry_written,
            era=self._era,
        )

    @property
    def store_era(self) -> int:
        """Return the store's era, as far as this node knows."""
        return self._era.current

    @property
    def revision(self) -> int:
        """Return the store revision up to which the replica is complete."""
        return self._replica.log.cursor

    def counted_store(self, reason: str) -> AsyncObjectStore:
        """Return a client of the store that counts its calls by ``reason``."""
        return self._followers.counted_store(reason)

    async def start(self) -> None:
        """Listen for gossip, then read routes and entries from the store."""
        if self._settings.ports.gossip:
            await self._gossiper.listen(
                parse_address(self._settings.ports.gossip)
            )
        await self._reader.start()

    async def run(self) -> None:
        """Run gossip, store reader and fetchers until cancelled."""
        self._gossiper.send_sync_requests()
        works = {
            'gossip': self._gossiper.run,
            'renewal of evidence': self._gossiper.renew_evidence,
            'store reader': self._reader.run,
            'routes fetcher': self._routes_fetcher.run,
            'targets fetcher': self._targets_fetcher.run,
        }
        await asyncio.gather(
            *(self._supervisor.run(name, work) for name, work in works.items())
        )

    def record_version(self, version: int, node: Address | None) -> None:
        """Record the version of the routes in force at the peer ``node``."""
        self.status.record_heard(version)
        self._routes_fetcher.record_version(version, node)

    def record_version_by_host(self, version: int, host: str) -> None:
        """Record the version of the routes in force at a peer on ``host``."""
        if version > self._routes.version:
            self.record_version(version, self._lookup.address_on(host))

    def updates_by_header(self) -> dict[str, Callable[[int], msgspec.Struct]]:
        """Return functions that return updates for peers, by request header.

        Their argument is the version or revision that the peer has.
        """
        return {
            ROUTES_HEADER: self._routes.update_since,
            TARGETS_HEADER: lambda revision: self._replica.export(
                after=revision
            ),
        }

    def query_peers(self) -> None:
        """Send questions to peers now, as an entry was found out of date."""
        self._gossiper.send_sync_requests()

    def _count_store_call(self, reason: str) -> None:
        self._metrics.note('store.call', {'reason': reason})

    def _record_peer_version(self, version: int, name: str) -> None:
        if version > self._routes.version:
            self.record_version(version, self._lookup.address_of(name))

    def _entry_written(self, stored: StoredObject) -> None:
        self._replica.record_write(document_of(stored))
        self._replica_changed()

    def _record_new_era(self, before: int, now: int) -> None:
        """Write again what the store may have lost, and spread the news."""
        self._observer.note(
            'store.era',
            before=before,
            now=now,
            revision=counter_of(self._replica.log.cursor),
            version=self._routes.version,
        )
        self.publisher.write_again(len(self._directory) / _REWRITES_PER_S)
        self._on_new_era()
        if self.status.is_following:
            self._reader.request_read()
        self._gossiper.spread_new_state()

    def _replica_changed(self) -> None:
        self._era.learn(era_of(self._replica.log.newest_revision))
        self._targets_fetcher.check()
        node_name = self._settings.node
        nodes = self._updater.update()
        if nodes:
            self._gossiper.update_known_peers()
        if self._replica.has_rumours:
            self._gossiper.schedule_push()
        if node_name in nodes:
            self._on_local_entry_change(self._directory.entry_of(node_name))
