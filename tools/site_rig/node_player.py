"""Plays what happens to the processes of nodes, and configurations."""

import asyncio
import signal

from tools.site_rig.player import Player
from tools.site_rig.scene import Disruption
from tools.site_rig.stage import Stage

# A slowed node runs for a part of each turn.
_TURN_S = 0.05


class ConfigurationPlayer(Player):
    """Writes configurations."""

    kinds = frozenset(('config_change',))

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage

    async def play(self, disruption: Disruption) -> None:
        """Write another one."""
        self._stage.configure(disruption)


class NodePlayer(Player):
    """Sends signals to nodes."""

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self._plays = {
            'roll_term': self._stop,
            'hup': self._reload,
            'node_kill': self._kill,
            'node_freeze': self._freeze,
            'node_slow': self._slow,
        }
        self.kinds = frozenset(self._plays)

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption, unless its node is gone."""
        node = self._stage.nodes.get(disruption.host)
        if node is not None:
            await self._plays[disruption.kind](node, disruption)

    async def _stop(self, node, disruption: Disruption) -> None:
        if 'remove' in disruption.how:
            await node.stop()
        else:
            await node.restart()

    async def _reload(self, node, disruption: Disruption) -> None:
        node.reload()

    async def _kill(self, node, disruption: Disruption) -> None:
        with self._stage.trouble(disruption):
            is_dark = disruption.how == 'dark'
            await node.kill(disruption.for_s, is_dark=is_dark)

    async def _freeze(self, node, disruption: Disruption) -> None:
        with self._stage.trouble(disruption):
            node.send(signal.SIGSTOP)
            await asyncio.sleep(disruption.for_s)
            node.send(signal.SIGCONT)

    async def _slow(self, node, disruption: Disruption) -> None:
        running_s = _TURN_S / disruption.ratio
        turns = int(disruption.for_s / _TURN_S)
        with self._stage.trouble(disruption):
            for _ in range(turns):
                node.send(signal.SIGSTOP)
                await asyncio.sleep(_TURN_S - running_s)
                node.send(signal.SIGCONT)
                await asyncio.sleep(running_s)
