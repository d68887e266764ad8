"""Unreachable nodes are found reachable again by probes."""

import asyncio

from fescueknot.identity import Address
from fescueknot.relay.reachability import ProbeSettings, Reachability
from tests.relay.fakes import run

_NODE = Address(host='10.0.0.1', port=1)
_SETTINGS = ProbeSettings(min_pause_s=0, max_pause_s=0)


def _reachability(answers, changes):
    async def probe(node):
        return answers.pop(0)

    return Reachability(
        probe=probe,
        on_change=lambda node, reachable: changes.append(reachable),
        settings=_SETTINGS,
    )


class TestReachability:
    """Unreachable nodes and their probes."""

    def test_a_node_is_unreachable_until_a_probe_succeeds(self):
        async def scenario():
            changes = []
            reachability = _reachability([False, False, True], changes)
            reachability.mark_unreachable(_NODE)
            reachability.mark_unreachable(_NODE)
            before = reachability.is_unreachable(_NODE)
            while reachability.is_unreachable(_NODE):
                await asyncio.sleep(0)
            return before, changes

        assert run(scenario) == (True, [False, True])

    def test_nodes_that_are_no_longer_listed_are_removed(self):
        async def scenario():
            reachability = _reachability([], [])
            reachability.mark_unreachable(_NODE)
            reachability.retain(frozenset())
            return reachability.is_unreachable(_NODE)

        assert run(scenario) is False
