"""Targets that announce in their answers that they leave."""

import asyncio
import math

import pytest

from fescueknot.relay.announcement import Announcement
from tests.relay.simulated_fleet import DRAIN_S, SimulatedFleet
from tests.relay.simulated_loop import run_simulated

_SEEDS = (1, 2, 3)
_ANNOUNCED_S = 2.0


def _late_arrivals(fleet, target):
    """Return the requests sent too late by nodes that had passed it on.

    Too late is later than the drain bound after the node of the request had
    passed on an answer with the announcement; a node that has started anew
    since then knows nothing of it.
    """
    asked = {answer[2]: answer for answer in fleet.answers}
    told_s = {}
    late = []
    for arrived_s, attempt in target.arrivals:
        sent_s, port, *_ = asked[attempt]
        node = fleet.by_port[port]
        if node.started_before(sent_s) > told_s.get(port, math.inf):
            told_s.pop(port)
        if sent_s > told_s.get(port, math.inf) + DRAIN_S:
            late.append((port, attempt))
        if arrived_s >= _ANNOUNCED_S:
            told_s.setdefault(port, arrived_s + target.service_s)
    return late


class TestAnswersOfALeavingTarget:
    """Requests after an answer said that the target leaves."""

    # Guards against work for a target whose answers alone say that it leaves.
    @pytest.mark.parametrize('restarts', [0, 1, 3])
    def test_a_node_that_passed_it_on_sends_no_later_requests(self, restarts):
        async def scenario(seed):
            fleet = SimulatedFleet(nodes=6, seed=seed)
            leaving = fleet.nodes[0]
            load = asyncio.ensure_future(
                fleet.offer(rate_per_s=60, duration_s=12)
            )
            await asyncio.sleep(_ANNOUNCED_S)
            leaving.target.announcement = Announcement(is_leaving=True)
            for _ in range(restarts):
                await asyncio.sleep(2.5)
                leaving.stop()
                await asyncio.sleep(0.3)
                leaving.start()
            await load
            return _late_arrivals(fleet, leaving.target)

        assert [run_simulated(scenario, seed) for seed in _SEEDS] == [
            [] for _ in _SEEDS
        ]
