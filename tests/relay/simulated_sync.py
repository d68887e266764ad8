"""Nodes that synchronise routes and entries, without sockets.

Each node has the real parts from the client of the store to the routes in
force. Calls to the store and between nodes, and datagrams, take their delay
in simulated time.
"""

import asyncio
import contextlib

import msgspec

from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.identity import Address, Place
from fescueknot.platform.main import PlatformAdapter
from fescueknot.platform.objects import PlatformStore
from fescueknot.quarantine.book import SuspectBook
from fescueknot.randomness import seeded
from fescueknot.relay.fleet_sync import FleetSync
from fescueknot.relay.gossip_port import DatagramPort, decode
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.peers import PeerHandler, PeerNodes
from fescueknot.relay.settings import Bounds, Ports, RelaySettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.publisher import TARGETS_KIND
from tests.relay.fakes import RecordingObserver, make_entry, make_exchange
from tests.relay.selectors import make_reachability, make_selector
from tools.standin.platform_store import PlatformStoreStandin

PEER_PORT = 1
GOSSIP_PORT = 2
# One way, within a region and between regions.
_NEAR_S = 0.0005
_FAR_S = 0.02
_CONNECT_TIMEOUT_S = 0.5


def configuration(version):
    """Return a configuration in the platform's format."""
    return {'version': f'{version:08x}', 'listeners': [], 'clusters': []}


class _Link:
    """A client's way to a server; calls end with an error if it is cut.

    A silent server takes calls and never answers. ``errors`` of the node are
    raised by its next calls.
    """

    def __init__(self, *, fleet, node, server, delay_s):
        self._fleet = fleet
        self._node = node
        self._server = server
        self._delay_s = delay_s

    async def exchange(self, request, accepts=None, *, max_idle_s=None):
        await self._connect()
        if self._node.errors:
            raise self._node.errors.pop()
        handler = self._fleet.handler_of(self._server)
        response = await handler.answer(request, self._node.address.host)
        if self._server in self._node.silent_servers:
            await asyncio.Event().wait()
        await asyncio.sleep(self._delay_s)
        if response is None:
            raise AnswerLostError('closed')
        return response

    async def probe(self):
        await self._connect()

    def close(self):
        """Do nothing: there are no idle connections."""

    async def _connect(self):
        await asyncio.sleep(self._delay_s)
        if not self._fleet.is_reachable(self._node, self._server):
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            raise NotSentError('no connection')


class _Adapter(PlatformAdapter):
    """Gives a node a store behind a simulated link."""

    def __init__(self, *, fleet, node):
        self._fleet = fleet
        self._node = node

    def object_store(self, address, era):
        store = PlatformStore(address=address, era=era)
        store._client = _Link(
            fleet=self._fleet, node=self._node, server='store', delay_s=_FAR_S
        )
        return store


class _Peers(PeerNodes):
    def __init__(self, *, fleet, node):
        super().__init__(
            header_names=PlatformAdapter.header_names, observer=node.observer
        )
        self._fleet = fleet
        self._node = node

    def _client(self, node):
        return _Link(
            fleet=self._fleet,
            node=self._node,
            server=self._fleet.name_at(node),
            delay_s=self._fleet.delay_s(self._node.address, node),
        )


class _Port(DatagramPort):
    """Delivers datagrams after a delay, unless they are lost."""

    def __init__(self, *, fleet, address):
        self._fleet = fleet
        self._address = address

    async def listen(self, address, receiver):
        self._fleet.receivers[self._address] = receiver

    def send(self, message, target):
        datagram = msgspec.json.encode(message)
        self._fleet.deliver(datagram, self._address, target)


class SyncedNode:
    """One node; each ``start`` is a process that knows nothing."""

    def __init__(self, *, fleet, name, place, address):
        self.name = name
        self.place = place
        self.address = address
        self.is_running = False
        self.silent_servers = set()
        self.cut_from = set()
        self.errors = []
        self.observer = RecordingObserver()
        self._fleet = fleet
        self._tasks = []

    @property
    def entry(self):
        return make_entry(
            f'i-{self.name}',
            self.place,
            Address(host=self.address.host, port=PEER_PORT),
            gossip_port=GOSSIP_PORT,
        )

    async def start(self):
        fleet = self._fleet
        self.rng = seeded(seed=next(fleet.seeds))
        self.metrics = NodeMetrics()
        self.routes = RoutesInForce(rng=self.rng)
        self.directory = TargetDirectory()
        self.peers = _Peers(fleet=fleet, node=self)
        self.fleet_sync = FleetSync(
            settings=self._settings(),
            adapter=_Adapter(fleet=fleet, node=self),
            port=_Port(fleet=fleet, address=self.address),
            routes=self.routes,
            directory=self.directory,
            selector=self._selector(),
            peers=self.peers,
            observer=self.observer,
            metrics=self.metrics,
            rng=self.rng,
            exchanges=(make_exchange(SuspectBook(), self.observer),),
            on_local_entry_change=self._entry_changed,
            on_new_era=lambda: None,
        )
        self.handler = PeerHandler(
            gatekeeper=None,
            header_names=PlatformAdapter.header_names,
            on_routes_version=lambda version, host: None,
            updates_by_header=self.fleet_sync.updates_by_header(),
        )
        self.is_running = True
        self._tasks = [asyncio.ensure_future(self._synchronise())]

    async def stop(self):
        """End the process without a word."""
        self.is_running = False
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def restart(self):
        """End the process and start another one."""
        await self.stop()
        self.observer.events.clear()
        await self.start()

    def versions_since_start(self):
        """Return the versions of the routes that were put in force."""
        return [
            details['version']
            for event, details in self.observer.events
            if event == 'routes.offered' and details['taken']
        ]

    def store_calls(self):
        """Return the number of calls to the store since the start."""
        return sum(
            count
            for (event, *_), count in self.metrics._counts.items()
            if event == 'store.call'
        )

    def publish(self, **changes):
        """Have the node's entry written and kept in the store."""
        entry = msgspec.structs.replace(self.entry, **changes)
        self.fleet_sync.publisher.set_desired(entry)
        if len(self._tasks) == 1:
            publishing = self.fleet_sync.publisher.run()
            self._tasks.append(asyncio.ensure_future(publishing))

    def knows(self, node, **fields):
        """Return whether the directory shows a node's entry with fields."""
        entry = self.directory.entry_of(node.name)
        return entry is not None and all(
            getattr(entry, name) == value for name, value in fields.items()
        )

    def _entry_changed(self, entry):
        self.fleet_sync.publisher.set_observed(entry)

    async def _synchronise(self):
        await self.fleet_sync.start()
        await self.fleet_sync.run()

    def _settings(self):
        peer = f'{self.address.host}:{PEER_PORT}'
        return RelaySettings(
            node=self.name,
            service='entries',
            target='127.0.0.1:1',
            region=self.place.region,
            failure_domain=self.place.failure_domain,
            ports=Ports(
                callers=peer,
                peers=peer,
                ready=peer,
                heartbeats=peer,
                gossip=str(self.address),
            ),
            bounds=Bounds(drain_s=4, grace_s=4),
            object_store='10.200.0.1:1',
        )

    def _selector(self):
        return make_selector(
            name=self.name,
            place=self.place,
            directory=self.directory,
            routes=self.routes,
            reachability=make_reachability(self.peers.probe),
            rng=self.rng,
        )


class SyncedFleet:
    """Nodes in failure domains of two each region, and their store."""

    def __init__(self, *, nodes, domains=6, seed=1):
        self.store = PlatformStoreStandin()
        self.receivers = {}
        self.seeds = iter(range(seed * 10_000, seed * 10_000 + 10_000))
        self.nodes = [
            SyncedNode(
                fleet=self,
                name=f'n{number}',
                place=_place(number % domains),
                address=Address(
                    host=f'10.0.{number // 250}.{number % 250 + 1}',
                    port=GOSSIP_PORT,
                ),
            )
            for number in range(nodes)
        ]
        self._by_host = {node.address.host: node for node in self.nodes}
        self._by_name = {node.name: node for node in self.nodes}
        self.change(1)
        for node in self.nodes:
            entry = msgspec.json.encode(node.entry)
            self.store.write(TARGETS_KIND, node.name, msgspec.Raw(entry))

    def change(self, version):
        """Write a version of the configuration, as the operator does."""
        self.store.write('config', 'main', configuration(version))

    async def start(self, settle_s=0):
        """Start all nodes and wait."""
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(settle_s)

    async def stop(self):
        for node in self.nodes:
            await node.stop()

    def readers(self):
        """Return the nodes that follow the store now."""
        return [
            node
            for node in self.nodes
            if node.is_running and node.fleet_sync.status.is_following
        ]

    def others(self, excluded):
        """Return the running nodes without those ``excluded``."""
        return [
            node
            for node in self.nodes
            if node.is_running and node not in excluded
        ]

    def late(self, version, nodes=None):
        """Return the names of nodes that don't have a version in force."""
        return [
            node.name
            for node in nodes or self.nodes
            if node.routes.version < version
        ]

    def handler_of(self, server):
        if server == 'store':
            return self.store
        return self._by_name[server].handler

    def is_reachable(self, node, server):
        if server in node.cut_from:
            return False
        if server == 'store':
            return True
        other = self._by_name.get(server)
        if other is None or not other.is_running:
            return False
        return node.name not in other.cut_from

    def name_at(self, address):
        node = self._by_host.get(address.host)
        return node.name if node else str(address)

    def delay_s(self, source, target):
        nodes = (self._by_host.get(source.host), self._by_host.get(target.host))
        regions = {node.place.region for node in nodes if node}
        return _NEAR_S if len(regions) == 1 else _FAR_S

    def deliver(self, datagram, source, target):
        sender = self._by_host[source.host]
        if not self.is_reachable(sender, self.name_at(target)):
            return
        if not sender.is_running:
            return
        asyncio.get_running_loop().call_later(
            self.delay_s(source, target),
            lambda: self._receive(datagram, source, target),
        )

    def _receive(self, datagram, source, target):
        receiver = self.receivers.get(target)
        if receiver is not None and self._by_host[target.host].is_running:
            receiver.receive(decode(datagram), source)


def _place(domain):
    return Place(region=f'r{domain // 2}', failure_domain=f'd{domain}')
