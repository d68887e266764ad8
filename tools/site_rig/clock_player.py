"""Plays how the time of day of machines jumps."""

import asyncio

from tools.site_rig.node_process import NodeProcess
from tools.site_rig.player import Player
from tools.site_rig.scene import Disruption
from tools.site_rig.stage import Stage


class ClockPlayer(Player):
    """Lets clocks jump, and back later.

    Each jump is a disruption, not the time between them.
    """

    kinds = frozenset(('clock_step',))

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption, unless its node is gone."""
        node = self._stage.nodes.get(disruption.host)
        if node is None:
            return
        self._step(node, disruption, disruption.ratio)
        await asyncio.sleep(disruption.for_s)
        self._step(node, disruption, -disruption.ratio)

    def _step(
        self, node: NodeProcess, disruption: Disruption, by_s: float
    ) -> None:
        with self._stage.trouble(disruption):
            node.clock.step(by_s)
