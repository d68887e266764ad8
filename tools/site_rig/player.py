"""Players: each plays one family of disruptions in a process of the rig."""

import abc
import asyncio
import time
from collections.abc import Iterable

from tools.site_rig.scene import Disruption, Scene


class Player(abc.ABC):
    """Plays the disruptions of some kinds, each in a task of its own."""

    kinds: frozenset[str] = frozenset()

    @abc.abstractmethod
    async def play(self, disruption: Disruption) -> None:
        """Play one disruption from its begin to its end."""


async def play_all(scene: Scene, players: Iterable[Player]) -> None:
    """Play the disruptions of a scene that one of the players knows."""
    known = {kind: player for player in players for kind in player.kinds}
    await asyncio.gather(
        *(
            _play_at(scene.began_s, known[disruption.kind], disruption)
            for disruption in scene.disruptions
            if disruption.kind in known
        )
    )


async def _play_at(
    began_s: float, player: Player, disruption: Disruption
) -> None:
    await asyncio.sleep(began_s + disruption.at_s - time.monotonic())
    await player.play(disruption)
