"""News of the fleet among real nodes' parts on one machine."""

import asyncio
import contextlib
import itertools

from fescueknot.httpio.server import Server
from fescueknot.identity import Address, Place
from fescueknot.platform.main import PlatformAdapter
from fescueknot.randomness import seeded
from fescueknot.relay.fleet_sync import FleetNews
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.peers import PeerHandler, PeerNodes
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.settings import Bounds, Ports, RelaySettings
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.messages import TargetEntry
from tests.relay.fakes import RecordingObserver
from tools.standin.platform_store import PlatformStoreStandin

_ADAPTER = PlatformAdapter()
_NODES = 5


def _configuration(version):
    return {'version': f'{version:08x}', 'listeners': [], 'clusters': []}


class _Node:
    """The parts of one node that deal with news."""

    def __init__(self, name, store, seed):
        self.name = name
        self.store = store
        self.metrics = NodeMetrics()
        self.observer = RecordingObserver()
        self.rng = seeded(seed=seed)
        self.place = Place(region='sierra', failure_domain='sierra-a')
        self.routes = RoutesInForce(rng=self.rng)
        self.directory = TargetDirectory()
        self.own_seen = []
        self.tasks = []

    async def start(self):
        self.peers = PeerNodes(
            header_names=_ADAPTER.header_names, observer=self.observer
        )
        handler = PeerHandler(
            gatekeeper=None,
            header_names=_ADAPTER.header_names,
            on_routes_version=lambda version, host: None,
            updates_after={},
        )
        self.server = Server(handler=handler, report=lambda error: None)
        await self.server.listen('127.0.0.1', 0)
        self.address = Address(host='127.0.0.1', port=self.server.port)
        own = str(self.address)
        settings = RelaySettings(
            node=self.name,
            service='entries',
            target='127.0.0.1:1',
            region='sierra',
            failure_domain='sierra-a',
            ports=Ports(
                callers=own, peers=own, ready=own, heartbeats=own, gossip=own
            ),
            bounds=Bounds(drain_s=4, grace_s=4),
            object_store=self.store,
        )
        self.news = FleetNews(
            settings=settings,
            adapter=_ADAPTER,
            routes=self.routes,
            directory=self.directory,
            selector=self._selector(),
            peers=self.peers,
            observer=self.observer,
            metrics=self.metrics,
            rng=self.rng,
            own_changed=self.own_seen.append,
        )
        handler._updates_after = self.news.after()
        await self.news.begin()
        self.tasks = [
            asyncio.ensure_future(self.news.run()),
            asyncio.ensure_future(self.news.publisher.run()),
        ]
        self.news.publisher.set_observed(None)
        self.news.publisher.set_desired(
            TargetEntry(
                instance=f'i-{self.name}',
                started_ms=1,
                service='entries',
                place=self.place,
                node=self.address,
                slots=6,
                gossip_port=self.address.port,
            )
        )

    async def end(self):
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.server.stop_listening()

    def calls(self, reason):
        return self.metrics._counts['store.call', reason]

    def _selector(self):
        return TargetSelector(
            directory=self.directory,
            routes=self.routes,
            viewpoint=viewpoint_of(name=self.name, place=self.place),
            retry_budget=SharedBudgetSettings(),
            reachability=Reachability(
                probe=self.peers.probe, on_change=lambda node, back: None
            ),
            rng=self.rng,
        )


class _Fleet:
    """Nodes and the store that they share."""

    def __init__(self):
        self.standin = PlatformStoreStandin()
        self.standin.write('config', 'main', _configuration(1))
        self.nodes = []
        self.seeds = itertools.count(1)

    async def start(self, count):
        server = Server(handler=self.standin, report=lambda error: None)
        await server.listen('127.0.0.1', 0)
        self.store = f'127.0.0.1:{server.port}'
        for number in range(count):
            await self.add(f'n{number}')
        await self.until(self.all_know_all)

    async def add(self, name):
        node = _Node(name, self.store, next(self.seeds))
        await node.start()
        self.nodes.append(node)
        return node

    def all_know_all(self):
        return all(
            len(node.directory) == len(self.nodes) for node in self.nodes
        )

    def all_at(self, version):
        return all(node.routes.version == version for node in self.nodes)

    def readers(self):
        return [node for node in self.nodes if node.calls('follow')]

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.01)

    async def end(self):
        for node in self.nodes:
            await node.end()


def _play(scenario):
    async def around():
        fleet = _Fleet()
        await fleet.start(_NODES)
        try:
            return await scenario(fleet)
        finally:
            await fleet.end()

    return asyncio.run(asyncio.wait_for(around(), 30))


class TestNews:
    """News."""

    def test_a_version_reaches_all_and_few_read_the_store(self):
        async def scenario(fleet):
            await fleet.until(fleet.readers)
            fleet.standin.write('config', 'main', _configuration(2))
            await fleet.until(lambda: fleet.all_at(2))
            return len(fleet.readers())

        assert _play(scenario) <= 2

    def test_it_reaches_all_when_a_reader_is_gone(self):
        async def scenario(fleet):
            await fleet.until(fleet.readers)
            reader = fleet.readers()[0]
            fleet.nodes.remove(reader)
            await reader.end()
            fleet.standin.write('config', 'main', _configuration(2))
            await fleet.until(lambda: fleet.all_at(2))

        _play(scenario)

    def test_a_node_that_starts_learns_all_and_is_learnt_of(self):
        async def scenario(fleet):
            fleet.standin.write('config', 'main', _configuration(2))
            await fleet.until(lambda: fleet.all_at(2))
            fleet.standin.stale_s = 3600
            await fleet.add('late')
            await fleet.until(fleet.all_know_all)
            await fleet.until(lambda: fleet.all_at(2))

        _play(scenario)

    def test_news_goes_round_while_the_store_is_away(self):
        async def scenario(fleet):
            fleet.standin.failing = 503
            first = fleet.nodes[0]
            newer = _ADAPTER.configuration(
                '{"version": "00000007", "listeners": [], "clusters": []}'
            )
            first.routes.offer(newer)
            await fleet.until(lambda: fleet.all_at(7))

        _play(scenario)

    def test_an_own_entry_that_is_overwritten_is_told(self):
        async def scenario(fleet):
            await fleet.until(fleet.readers)
            node = fleet.nodes[0]
            node.own_seen.clear()
            fleet.standin.write('fescueknot-targets', node.name, {'x': 1})
            await fleet.until(lambda: node.own_seen)
            return node.own_seen[0]

        assert _play(scenario) is None
