"""Requests that crash each target that begins to run them."""

import asyncio

import pytest

from tests.relay.simulated_fleet import SimulatedFleet
from tests.relay.simulated_loop import run_simulated

_SEEDS = (1, 2, 3)
_CRASHING_PATH = '/normal/crashing'
# From this long after the third crash the bound holds.
_STABLE_S = 3
_MAX_LATER_ARRIVALS = 3
# Targets that are down when the bound begins to hold are up again.
_RECOVERED_S = 7


def _make_crashing(fleet, *paths):
    for node in fleet.nodes:
        node.target.crashing_paths = frozenset(paths)


def _third_crash_s(fleet):
    crashes = (
        at_s for node in fleet.nodes for at_s in node.target.crashed_at_s
    )
    return sorted(crashes)[2]


def _late_arrivals(fleet):
    """Return the arrivals beyond the time in which news travels."""
    bound_from_s = _third_crash_s(fleet) + _STABLE_S
    return sum(
        at_s > bound_from_s
        for node in fleet.nodes
        for at_s in node.target.crashing_arrivals
    )


async def _offer_crashing(fleet, *, rate_per_s, duration_s, per_node_s=10):
    load = fleet.offer(
        rate_per_s=len(fleet.nodes) * per_node_s, duration_s=duration_s
    )
    crashing = fleet.repeat(
        _CRASHING_PATH, rate_per_s=rate_per_s, duration_s=duration_s
    )
    return await asyncio.gather(load, crashing)


class TestCrashingRequest:
    """One request that comes again and again, at any node."""

    # Guards against a request that crashes one target after the other.
    @pytest.mark.parametrize(
        ('nodes', 'rate_per_s'), [(6, 0.7), (6, 3), (24, 3), (24, 20)]
    )
    def test_it_reaches_few_targets_after_the_third_crash(
        self, nodes, rate_per_s
    ):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=nodes, seed=seed)
            _make_crashing(fleet, _CRASHING_PATH)
            await _offer_crashing(fleet, rate_per_s=rate_per_s, duration_s=25)
            return _late_arrivals(fleet)

        later = [run_simulated(scenario, seed) for seed in _SEEDS]
        assert max(later) <= _MAX_LATER_ARRIVALS

    def test_others_are_served_once_it_is_held_back(self):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=6, seed=seed)
            _make_crashing(fleet, _CRASHING_PATH)
            await _offer_crashing(fleet, rate_per_s=3, duration_s=20)
            recovered_s = _third_crash_s(fleet) + _RECOVERED_S
            return (
                fleet.served_fraction(),
                fleet.served_fraction(from_s=recovered_s),
            )

        found = [run_simulated(scenario, seed) for seed in _SEEDS]
        assert min(later for _, later in found) == 1
        assert min(served for served, _ in found) >= 0.9

    # Guards against "not run" for a request that has crashed a target.
    def test_refusals_are_true_and_say_when_it_may_run_again(self):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=6, seed=seed)
            _make_crashing(fleet, _CRASHING_PATH)
            _, responses = await _offer_crashing(
                fleet, rate_per_s=3, duration_s=20
            )
            arrived = {
                attempt
                for node in fleet.nodes
                for _, attempt in node.target.arrivals
            }
            refused = [
                (attempt, float(response.header('retry-after')))
                for attempt, response in responses
                if response.status == 503
            ]
            assert not arrived.intersection(attempt for attempt, _ in refused)
            return refused[-1][1]

        for seed in _SEEDS:
            assert 250 < run_simulated(scenario, seed) <= 300


class TestTroubleOfNodes:
    """What is known of a request outlives nodes and lost messages."""

    async def _later_arrivals(self, seed, trouble, *, nodes=12, **network):
        fleet = SimulatedFleet(nodes=nodes, seed=seed)
        fleet.loss = network.get('loss', 0)
        _make_crashing(fleet, _CRASHING_PATH)
        load = asyncio.ensure_future(
            _offer_crashing(fleet, rate_per_s=3, duration_s=25)
        )
        await trouble(fleet)
        await load
        return _late_arrivals(fleet)

    # Guards against a node that starts anew and knows nothing.
    @pytest.mark.parametrize('share', [0.1, 0.6])
    def test_nodes_are_killed_again_and_again(self, share):
        async def kill(fleet):
            for round_number in range(5):
                await asyncio.sleep(3.5)
                first = round_number % 3
                end = first + round(share * len(fleet.nodes))
                killed = fleet.nodes[first:end]
                for node in killed:
                    node.stop()
                await asyncio.sleep(0.5)
                for node in killed:
                    node.start()

        later = [
            run_simulated(self._later_arrivals, seed, kill) for seed in _SEEDS
        ]
        assert max(later) <= _MAX_LATER_ARRIVALS

    # Guards against a fleet that forgets with the end of its processes.
    @pytest.mark.parametrize('rate_per_s', [0.7, 3])
    def test_all_nodes_are_killed_at_once_twice(self, rate_per_s):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=12, seed=seed)
            _make_crashing(fleet, _CRASHING_PATH)
            load = asyncio.ensure_future(
                _offer_crashing(fleet, rate_per_s=rate_per_s, duration_s=25)
            )
            for _ in range(2):
                await asyncio.sleep(8)
                for node in fleet.nodes:
                    node.stop()
                    node.start()
            await load
            return _late_arrivals(fleet)

        later = [run_simulated(scenario, seed) for seed in _SEEDS]
        assert max(later) <= _MAX_LATER_ARRIVALS

    def test_messages_are_lost(self):
        async def no_trouble(_):
            """Do nothing: messages get lost all the while."""

        async def scenario(seed):
            return await self._later_arrivals(seed, no_trouble, loss=0.4)

        later = [run_simulated(scenario, seed) for seed in _SEEDS]
        assert max(later) <= _MAX_LATER_ARRIVALS

    # Guards against a node that was cut off when the others learned it.
    def test_a_node_that_was_cut_off_learns_it_in_time(self):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=12, seed=seed)
            _make_crashing(fleet, _CRASHING_PATH)
            fleet.cut_ports = frozenset((1, 2))
            await fleet.repeat(_CRASHING_PATH, rate_per_s=5, duration_s=5)
            fleet.cut_ports = frozenset()
            await asyncio.sleep(_STABLE_S)
            return [len(node.book.held(8)) for node in fleet.nodes]

        for seed in _SEEDS:
            assert set(run_simulated(scenario, seed)) == {1}


class TestInnocentRequests:
    """Requests at targets that crash for reasons of their own."""

    async def _crash_targets(self, fleet, *, pause_s, count):
        for number in range(count):
            await asyncio.sleep(pause_s)
            fleet.nodes[number % len(fleet.nodes)].target.crash()

    def _quarantined(self, fleet):
        return [
            details
            for node in fleet.nodes
            for event, details in node.observer.events
            if event == 'request.quarantined'
        ]

    # Guards against requests that are blamed for the crashes of others.
    @pytest.mark.parametrize('pause_s', [0.05, 0.7])
    def test_crashing_targets_hold_nobody_back(self, pause_s):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=12, seed=seed, service_s=0.1)
            await asyncio.gather(
                fleet.offer(rate_per_s=150, duration_s=15),
                self._crash_targets(fleet, pause_s=pause_s, count=8),
                self._crash_targets(fleet, pause_s=pause_s * 1.1, count=8),
            )
            return self._quarantined(fleet), fleet.served_fraction(from_s=10)

        for seed in _SEEDS:
            quarantined, served = run_simulated(scenario, seed)
            assert not quarantined
            assert served >= 0.99

    # Guards against a common request that is at every crash and succeeds.
    def test_a_request_that_is_made_all_the_time_is_not_held_back(self):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=6, seed=seed, service_s=0.1)
            responses, _ = await asyncio.gather(
                fleet.repeat('/normal/common', rate_per_s=100, duration_s=20),
                self._crash_targets(fleet, pause_s=2, count=8),
            )
            statuses = [response.status for _, response in responses]
            return self._quarantined(fleet), statuses.count(200), len(statuses)

        for seed in _SEEDS:
            quarantined, served, sent = run_simulated(scenario, seed)
            assert not quarantined
            assert served >= 0.97 * sent

    # Guards against requests that are held back after a rack is lost.
    @pytest.mark.parametrize('crashing', [3, 6, 11])
    def test_targets_that_crash_together_hold_nobody_back(self, crashing):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=12, seed=seed, service_s=0.1)
            load = asyncio.gather(
                fleet.repeat('/normal/common', rate_per_s=60, duration_s=12),
                fleet.offer(rate_per_s=100, duration_s=12),
            )
            await asyncio.sleep(4)
            for node in fleet.nodes[:crashing]:
                node.target.crash()
            await load
            return self._quarantined(fleet), fleet.served_fraction(from_s=9)

        for seed in _SEEDS:
            quarantined, served = run_simulated(scenario, seed)
            assert not quarantined
            assert served >= 0.99


class TestCost:
    """Messages between nodes about suspects."""

    def test_nothing_is_sent_without_a_crash(self):
        async def scenario():
            fleet = SimulatedFleet(nodes=12)
            await fleet.offer(rate_per_s=100, duration_s=3)
            started_bytes = fleet.datagram_bytes
            await fleet.offer(rate_per_s=100, duration_s=10)
            return fleet.datagram_bytes - started_bytes

        assert run_simulated(scenario) == 0

    @pytest.mark.parametrize('nodes', [12, 60])
    def test_what_each_node_sends_is_bounded(self, nodes):
        async def scenario():
            fleet = SimulatedFleet(nodes=nodes)
            _make_crashing(fleet, _CRASHING_PATH)
            await _offer_crashing(
                fleet, rate_per_s=3, duration_s=20, per_node_s=5
            )
            return fleet.datagram_bytes / nodes / 20

        assert run_simulated(scenario) <= 2000
