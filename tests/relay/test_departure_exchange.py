"""Tests that departures are held by others and reach nodes that start."""

import asyncio

import msgspec

from fescueknot.identity import Address, Place
from fescueknot.randomness import seeded
from fescueknot.relay.departure_exchange import DepartureExchange
from fescueknot.relay.gossip_port import decode
from fescueknot.relay.random_peers import RandomPeers
from fescueknot.targets.departures import Departure, DepartureBook
from fescueknot.targets.directory import TargetDirectory
from tests.relay.fakes import (
    RecordingObserver,
    target_document,
    target_documents,
)
from tests.relay.simulated_loop import run_simulated

_PLACE = Place(region='sierra', failure_domain='sierra-a')
_DEPARTURE = Departure(instance='i-1', until_ms=1000)
_DELAY_S = 0.02
_NONE_IS_LOST, _TWO_OF_THREE_ARE_LOST, _ALL_ARE_LOST = 0, 2, 3


class _Node:
    def __init__(self, network, port):
        self.book = DepartureBook()
        self.address = Address(host='10.0.0.1', port=port)
        self.learnt = []
        self.is_up = True
        rng = seeded(seed=port)
        self.exchange = DepartureExchange(
            book=self.book,
            peers=RandomPeers(
                service='entries',
                local_address=self.address,
                directory=network.directory,
                rng=rng,
            ),
            observer=RecordingObserver(),
            rng=rng,
            on_departures=self.learnt.extend,
        )
        self.exchange.connect(
            lambda message, target: network.send(message, self, target)
        )

    def knows(self):
        return self.book.has_left('i-1', 1000)


class _Network:
    """Nodes with one directory; ``lost`` of each three datagrams are lost."""

    def __init__(self, count):
        self.sent = 0
        self.lost = _NONE_IS_LOST
        self.directory = TargetDirectory()
        ports = range(1, count + 1)
        self.directory.apply_changes(target_documents(_PLACE, *ports))
        self.nodes = [_Node(self, port) for port in ports]

    def send(self, message, source, target):
        self.sent += 1
        if self.sent % 3 < self.lost:
            return
        datagram = msgspec.json.encode(message)
        asyncio.get_running_loop().call_later(
            _DELAY_S, self._deliver, datagram, source, target
        )

    def _deliver(self, datagram, source, target):
        node = self.nodes[target.port - 1]
        if node.is_up:
            node.exchange.receive(decode(datagram), source.address)


class TestHandOver:
    """Who holds a departure before it is acknowledged."""

    def test_two_other_nodes_hold_it(self):
        # Guards against a leaving that only the node knows which took it.
        async def scenario():
            network = _Network(8)
            first, *others = network.nodes
            held = await first.exchange.hand_over(_DEPARTURE, 0.6)
            return held, sum(node.knows() for node in others)

        held, holders = run_simulated(scenario)
        assert held
        assert holders >= 2

    def test_lost_datagrams_are_sent_again(self):
        async def scenario():
            network = _Network(8)
            network.lost = _TWO_OF_THREE_ARE_LOST
            first, *others = network.nodes
            held = await first.exchange.hand_over(_DEPARTURE, 0.6)
            return held, sum(node.knows() for node in others)

        held, holders = run_simulated(scenario)
        assert held
        assert holders >= 2

    def test_one_holder_is_enough_in_a_fleet_of_two(self):
        async def scenario():
            network = _Network(2)
            return await network.nodes[0].exchange.hand_over(_DEPARTURE, 0.6)

        assert run_simulated(scenario)

    def test_nobody_holds_it_if_all_others_are_down(self):
        async def scenario():
            network = _Network(8)
            for node in network.nodes[1:]:
                node.is_up = False
            return await network.nodes[0].exchange.hand_over(_DEPARTURE, 0.6)

        assert not run_simulated(scenario)

    def test_nobody_holds_it_if_there_are_no_others(self):
        async def scenario():
            network = _Network(1)
            return await network.nodes[0].exchange.hand_over(_DEPARTURE, 0.6)

        assert not run_simulated(scenario)

    def test_all_nodes_learn_it(self):
        async def scenario():
            network = _Network(24)
            await network.nodes[0].exchange.hand_over(_DEPARTURE, 0.6)
            await asyncio.sleep(1)
            return network

        network = run_simulated(scenario)
        known = sum(node.knows() for node in network.nodes)
        assert known >= 23
        assert all(len(node.learnt) <= 1 for node in network.nodes)
        assert network.sent < 24 * 8


class TestStart:
    """A node that starts asks the others."""

    def test_it_learns_what_others_hold(self):
        async def scenario():
            network = _Network(8)
            first = network.nodes[0]
            await first.exchange.hand_over(_DEPARTURE, 0.6)
            await asyncio.sleep(1)
            starting = _Node(network, 1)
            network.nodes[0] = starting
            starting.exchange.ask_at_start()
            await asyncio.sleep(1)
            return starting.learnt

        assert run_simulated(scenario) == [_DEPARTURE]

    def test_it_asks_again_until_it_gets_a_reply(self):
        async def scenario():
            network = _Network(4)
            await network.nodes[0].exchange.hand_over(_DEPARTURE, 0.6)
            await asyncio.sleep(1)
            starting = _Node(network, 1)
            network.nodes[0] = starting
            network.lost = _ALL_ARE_LOST
            starting.exchange.ask_at_start()
            network.lost = _NONE_IS_LOST
            starting.exchange.run_round()
            await asyncio.sleep(1)
            sent = network.sent
            starting.exchange.run_round()
            return starting.learnt, network.sent - sent

        assert run_simulated(scenario) == ([_DEPARTURE], 0)

    def test_a_node_that_knows_no_others_yet_asks_later(self):
        async def scenario():
            network = _Network(4)
            await network.nodes[0].exchange.hand_over(_DEPARTURE, 0.6)
            await asyncio.sleep(1)
            starting = _Node(network, 1)
            network.nodes[0] = starting
            listed = network.directory.entries()
            network.directory.apply_changes(
                target_document(name, None) for name in listed
            )
            for _ in range(20):
                starting.exchange.run_round()
            network.directory.apply_changes(
                target_documents(_PLACE, *range(1, 5))
            )
            starting.exchange.run_round()
            await asyncio.sleep(1)
            return starting.learnt

        assert run_simulated(scenario) == [_DEPARTURE]
