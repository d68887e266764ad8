"""Lost nodes come back by probes, not by requests of callers."""

import asyncio

from fescueknot.identity import Address
from fescueknot.relay.reachability import ProbeSettings, Reachability
from tests.relay.fakes import run

_NODE = Address(host='10.0.0.1', port=1)
_SETTINGS = ProbeSettings(first_s=0, longest_s=0)


def _reachability(answers, changes):
    async def probe(node):
        return answers.pop(0)

    return Reachability(
        probe=probe,
        on_change=lambda node, back: changes.append(back),
        settings=_SETTINGS,
    )


class TestReachability:
    """Reachability."""

    def test_a_node_is_lost_until_a_probe_succeeds(self):
        async def scenario():
            changes = []
            nodes = _reachability([False, False, True], changes)
            nodes.mark_unreachable(_NODE)
            nodes.mark_unreachable(_NODE)
            before = nodes.is_unreachable(_NODE)
            while nodes.is_unreachable(_NODE):
                await asyncio.sleep(0)
            return before, changes

        assert run(scenario) == (True, [False, True])

    def test_nodes_that_nobody_lists_are_forgotten(self):
        async def scenario():
            nodes = _reachability([], [])
            nodes.mark_unreachable(_NODE)
            nodes.retain(frozenset())
            return nodes.is_unreachable(_NODE)

        assert run(scenario) is False
