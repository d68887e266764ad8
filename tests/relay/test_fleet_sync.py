"""Synchronisation of several nodes over loopback sockets."""

import asyncio
import contextlib
import itertools
import socket

from fescueknot.httpio.server import Server
from fescueknot.identity import Address, Place
from fescueknot.platform.main import PlatformAdapter
from fescueknot.quarantine.book import SuspectBook
from fescueknot.randomness import seeded
from fescueknot.relay.fleet_sync import FleetSync
from fescueknot.relay.gossip_port import GossipPort
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.peers import PeerHandler, PeerNodes
from fescueknot.relay.settings import Bounds, Ports, RelaySettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from tests.relay.fakes import (
    RecordingObserver,
    ServingGate,
    make_entry,
    make_exchange,
)
from tests.relay.selectors import make_reachability, make_selector
from tools.standin.platform_store import PlatformStoreStandin

_ADAPTER = PlatformAdapter()
_NODES = 5


def _configuration(version):
    return {'version': f'{version:08x}', 'listeners': [], 'clusters': []}


class _Node:
    """The components of one node that synchronise entries and routes."""

    def __init__(self, name, store, seed):
        self.name = name
        self.store = store
        self.metrics = NodeMetrics()
        self.observer = RecordingObserver()
        self.rng = seeded(seed=seed)
        self.place = Place(region='sierra', failure_domain='sierra-a')
        self.routes = RoutesInForce(rng=self.rng)
        self.directory = TargetDirectory()
        self.local_entries = []
        self.tasks = []

    async def _listen(self, handler):
        """Listen at a TCP port whose UDP port is free too, for gossip."""
        while True:
            server = Server(handler=handler, report_error=lambda error: None)
            await server.listen('127.0.0.1', 0)
            with socket.socket(type=socket.SOCK_DGRAM) as probe:
                try:
                    probe.bind(('127.0.0.1', server.port))
                except OSError:
                    server.stop_listening()
                    continue
            return server

    async def start(self):
        self.peers = PeerNodes(
            header_names=_ADAPTER.header_names, observer=self.observer
        )
        handler = PeerHandler(
            gatekeeper=ServingGate(),
            header_names=_ADAPTER.header_names,
            on_routes_version=lambda version, host: None,
            updates_by_header={},
        )
        self.server = await self._listen(handler)
        self.address = Address(host='127.0.0.1', port=self.server.port)
        node_address = str(self.address)
        settings = RelaySettings(
            node=self.name,
            service='entries',
            target='127.0.0.1:1',
            region='sierra',
            failure_domain='sierra-a',
            ports=Ports(
                callers=node_address,
                peers=node_address,
                ready=node_address,
                heartbeats=node_address,
                gossip=node_address,
            ),
            bounds=Bounds(drain_s=4, grace_s=4),
            object_store=self.store,
        )
        self.fleet_sync = FleetSync(
            settings=settings,
            adapter=_ADAPTER,
            port=GossipPort(),
            routes=self.routes,
            directory=self.directory,
            selector=self._selector(),
            peers=self.peers,
            observer=self.observer,
            metrics=self.metrics,
            rng=self.rng,
            exchanges=(make_exchange(SuspectBook(), self.observer),),
            on_local_entry_change=self.local_entries.append,
            on_new_era=lambda: None,
        )
        handler._updates_by_header = self.fleet_sync.updates_by_header()
        await self.fleet_sync.start()
        self.tasks = [
            asyncio.ensure_future(self.fleet_sync.run()),
            asyncio.ensure_future(self.fleet_sync.publisher.run()),
        ]
        self.fleet_sync.publisher.set_observed(None)
        self.fleet_sync.publisher.set_desired(
            make_entry(f'i-{self.name}', self.place, self.address)
        )

    async def stop(self):
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.server.stop_listening()

    def store_calls(self, reason):
        return self.metrics._counts['store.call', reason]

    def _selector(self):
        return make_selector(
            name=self.name,
            place=self.place,
            directory=self.directory,
            routes=self.routes,
            reachability=make_reachability(self.peers.probe),
            rng=self.rng,
        )


class _Fleet:
    """Several nodes and the store that they share."""

    def __init__(self):
        self.standin = PlatformStoreStandin()
        self.standin.write('config', 'main', _configuration(1))
        self.nodes = []
        self.seeds = itertools.count(1)

    async def start(self, count):
        server = Server(handler=self.standin, report_error=lambda error: None)
        await server.listen('127.0.0.1', 0)
        self.store = f'127.0.0.1:{server.port}'
        for number in range(count):
            await self.add_node(f'n{number}')
        await self.wait_until(self.all_directories_complete)

    async def add_node(self, name):
        node = _Node(name, self.store, next(self.seeds))
        await node.start()
        self.nodes.append(node)
        return node

    def all_directories_complete(self):
        return all(
            len(node.directory) == len(self.nodes) for node in self.nodes
        )

    def all_have_version(self, version):
        return all(node.routes.version == version for node in self.nodes)

    def readers(self):
        return [node for node in self.nodes if node.store_calls('follow')]

    def is_watched(self):
        """Return whether a reader has listed and watches both kinds."""
        return any(node.store_calls('follow') >= 4 for node in self.nodes)

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.01)

    async def stop(self):
        for node in self.nodes:
            await node.stop()


def _run_scenario(scenario):
    async def run_fleet():
        fleet = _Fleet()
        await fleet.start(_NODES)
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(asyncio.wait_for(run_fleet(), 30))


class TestFleetSync:
    """Synchronisation of the fleet."""

    def test_a_version_reaches_all_nodes_with_at_most_two_readers(self):
        async def scenario(fleet):
            await fleet.wait_until(fleet.readers)
            fleet.standin.write('config', 'main', _configuration(2))
            await fleet.wait_until(lambda: fleet.all_have_version(2))
            return len(fleet.readers())

        assert _run_scenario(scenario) <= 2

    def test_a_version_reaches_all_nodes_after_a_reader_stops(self):
        async def scenario(fleet):
            await fleet.wait_until(fleet.readers)
            reader = fleet.readers()[0]
            fleet.nodes.remove(reader)
            await reader.stop()
            fleet.standin.write('config', 'main', _configuration(2))
            await fleet.wait_until(lambda: fleet.all_have_version(2))

        _run_scenario(scenario)

    def test_a_late_node_gets_all_entries_and_is_listed_by_all(self):
        async def scenario(fleet):
            fleet.standin.write('config', 'main', _configuration(2))
            await fleet.wait_until(lambda: fleet.all_have_version(2))
            # A watch that a reader has begun by now still shows changes.
            await fleet.wait_until(fleet.is_watched)
            fleet.standin.stale_s = 3600
            await fleet.add_node('late')
            await fleet.wait_until(fleet.all_directories_complete)
            await fleet.wait_until(lambda: fleet.all_have_version(2))

        _run_scenario(scenario)

    def test_a_version_spreads_while_the_store_is_unreachable(self):
        async def scenario(fleet):
            fleet.standin.failing = 503
            first = fleet.nodes[0]
            newer = _ADAPTER.configuration(
                '{"version": "00000007", "listeners": [], "clusters": []}'
            )
            first.routes.offer(newer)
            await fleet.wait_until(lambda: fleet.all_have_version(7))

        _run_scenario(scenario)

    def test_an_overwritten_local_entry_is_reported(self):
        async def scenario(fleet):
            await fleet.wait_until(fleet.readers)
            node = fleet.nodes[0]
            node.local_entries.clear()
            fleet.standin.write('fescueknot-targets', node.name, {'x': 1})
            await fleet.wait_until(lambda: node.local_entries)
            return node.local_entries[0]

        assert _run_scenario(scenario) is None
