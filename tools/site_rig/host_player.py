"""Plays how the nodes of hosts arrive and go."""

import asyncio
import signal

from tools.site_rig.departures import Departures
from tools.site_rig.node_process import NodeProcess
from tools.site_rig.player import Player
from tools.site_rig.scene import Disruption
from tools.site_rig.stage import Stage

# A node gets SIGTERM a little after its target has ended.
_AFTER_TARGET_S = 0.2


class HostPlayer(Player):
    """Starts and ends nodes together with their hosts."""

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self._departures = Departures(folder=stage.scene.folder)
        self._plays = {
            'leave': self._leave,
            'host_stop': self._stop,
            'host_loss': self._lose,
        }
        self.kinds = frozenset(('arrive', *self._plays))

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption, unless its node is gone."""
        if disruption.kind == 'arrive':
            host = self._stage.scene.host_named(disruption.host)
            await self._stage.start_node(host)
            return
        node = self._stage.nodes.get(disruption.host)
        if node is not None:
            await self._plays[disruption.kind](node, disruption)

    async def _leave(self, node: NodeProcess, disruption: Disruption) -> None:
        await self._departures.wait(disruption.host)
        await asyncio.sleep(_AFTER_TARGET_S)
        await node.stop()

    async def _stop(self, node: NodeProcess, disruption: Disruption) -> None:
        await node.stop()

    async def _lose(self, node: NodeProcess, disruption: Disruption) -> None:
        """Kill a node for good; a dark one stands still before that."""
        with self._stage.trouble(disruption):
            if disruption.how == 'dark':
                node.send(signal.SIGSTOP)
                await asyncio.sleep(disruption.for_s)
            node.remove()
