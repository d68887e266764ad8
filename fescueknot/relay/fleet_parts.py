"""Assembles a node's parts that deal with the fleet."""

import asyncio
import random

from fescueknot.clock import boot_time_s
from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.identity import Address
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.departure_parts import DepartureParts
from fescueknot.relay.fleet_sync import FleetSync
from fescueknot.relay.gossip_port import GossipPort
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.observer import Observer
from fescueknot.relay.part_settings import gossip_address, retry_budget
from fescueknot.relay.peers import PeerNodes
from fescueknot.relay.quota_parts import QuotaParts
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.service_domains import (
    Domains,
    FixedCosts,
    ServiceDomains,
)
from fescueknot.relay.settings import RelaySettings, parse_address
from fescueknot.relay.suspect_parts import SuspectParts
from fescueknot.relay.target_registrar import TargetRegistrar
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.departures import Departure
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.local_target import LocalTarget
from fescueknot.targets.messages import TargetEntry


class FleetParts:
    """What a node knows of the fleet, and the parts that keep it up to date.

    The exchange of departures and the synchronisation call the registrar,
    which is built from both; nothing is received before all are built.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        adapter: Adapter,
        target: LocalTarget,
        buffers: BufferBudget,
        observer: Observer,
        metrics: NodeMetrics,
        rng: random.Random,
    ) -> None:
        self._observer = observer
        self.routes = RoutesInForce(rng=rng)
        self.directory = TargetDirectory()
        self.suspects = SuspectParts(
            settings=settings,
            directory=self.directory,
            observer=observer,
            rng=rng,
        )
        self.departures = DepartureParts(
            settings=settings,
            directory=self.directory,
            observer=observer,
            rng=rng,
            on_departures=self._learn_departures,
        )
        self.quotas = QuotaParts(
            settings=settings,
            directory=self.directory,
            routes=self.routes,
            observer=observer,
            era=lambda: self.sync.store_era,
            boot_s=boot_time_s,
            rng=rng,
        )
        self.peers = PeerNodes(
            header_names=adapter.header_names,
            observer=observer,
            buffers=buffers,
        )
        self.selector = self._build_selector(settings, rng)
        self.sync = FleetSync(
            settings=settings,
            adapter=adapter,
            port=GossipPort(),
            routes=self.routes,
            directory=self.directory,
            selector=self.selector,
            peers=self.peers,
            observer=observer,
            metrics=metrics,
            rng=rng,
            exchanges=(
                self.suspects.exchange,
                self.departures.exchange,
                self.quotas.exchange,
            ),
            on_local_entry_change=self._local_entry_changed,
            on_new_era=self.suspects.write_again,
        )
        self.registrar = self._build_registrar(settings, adapter, target)

    @property
    def is_loaded(self) -> bool:
        """Return whether routes and targets are known."""
        return self.routes.is_loaded and self.directory.is_loaded

    def _build_selector(
        self, settings: RelaySettings, rng: random.Random
    ) -> TargetSelector:
        return TargetSelector(
            directory=self.directory,
            routes=self.routes,
            viewpoint=viewpoint_of(name=settings.node, place=settings.place),
            retry_budget=retry_budget(settings),
            reachability=Reachability(
                probe=self.peers.probe, on_change=self._node_changed
            ),
            rng=rng,
            departures=self.departures.book,
            domains=self._build_domains(settings, rng),
        )

    def _build_domains(
        self, settings: RelaySettings, rng: random.Random
    ) -> Domains:
        if not settings.adaptive_domains:
            return FixedCosts()
        return ServiceDomains(observer=self._observer, rng=rng)

    def _build_registrar(
        self, settings: RelaySettings, adapter: Adapter, target: LocalTarget
    ) -> TargetRegistrar:
        return TargetRegistrar(
            node=settings.node,
            place=settings.place,
            peer_address=parse_address(settings.ports.peers),
            gossip_port=gossip_address(settings).port,
            target_address=settings.target,
            target=target,
            adapter=adapter,
            publisher=self.sync.publisher,
            store=self.sync.counted_store('start'),
            departures=self.departures.exchange,
            observer=self._observer,
        )

    def _local_entry_changed(self, entry: TargetEntry | None) -> None:
        self.registrar.entry_changed(entry)

    def _learn_departures(self, departures: tuple[Departure, ...]) -> None:
        self.registrar.learn_departures(departures)
        now_s = asyncio.get_running_loop().time()
        self.selector.exclude(departures, now_s)

    def _node_changed(self, node: Address, reachable: bool) -> None:
        event = 'target.node_back' if reachable else 'target.node_lost'
        self._observer.note(event, peer=str(node))
