"""Requests that crash each target that begins to run them."""

import asyncio

import pytest

from tests.relay.simulated_fleet import SimulatedFleet
from tests.relay.simulated_loop import run_simulated

_SEEDS = (1, 2, 3)
_DEADLY_PATH = '/normal/deadly'
# From this long after the third crash the bound holds.
_STABLE_S = 3
_MAX_LATER_ARRIVALS = 3
# Targets that are down when the bound begins to hold are up again.
_RECOVERED_S = 7


def _make_deadly(fleet, *paths):
    for node in fleet.nodes:
        node.target.deadly_paths = frozenset(paths)


def _arrivals_s(fleet):
    return sorted(
        at_s for node in fleet.nodes for at_s in node.target.deadly_arrivals
    )


def _third_crash_s(fleet):
    crashes = (
        at_s for node in fleet.nodes for at_s in node.target.crashed_at_s
    )
    return sorted(crashes)[2]


async def _offer_deadly(fleet, *, rate_per_s, duration_s, per_node_s=10):
    load = fleet.offer(
        rate_per_s=len(fleet.nodes) * per_node_s, duration_s=duration_s
    )
    deadly = fleet.repeat(
        _DEADLY_PATH, rate_per_s=rate_per_s, duration_s=duration_s
    )
    return await asyncio.gather(load, deadly)


class TestDeadlyRequest:
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
            _make_deadly(fleet, _DEADLY_PATH)
            await _offer_deadly(fleet, rate_per_s=rate_per_s, duration_s=25)
            bound_from_s = _third_crash_s(fleet) + _STABLE_S
            return sum(at_s > bound_from_s for at_s in _arrivals_s(fleet))

        later = [run_simulated(scenario, seed) for seed in _SEEDS]
        assert max(later) <= _MAX_LATER_ARRIVALS
