"""Plays how targets arrive, leave and crash."""

import asyncio
import time

from tools.site_rig.departures import Departures
from tools.site_rig.player import Player
from tools.site_rig.records import TroubleRecord
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.target_group import TargetGroup
from tools.site_rig.target_life import Leaving, TargetLife
from tools.site_rig.target_words import NOTICE

_MS_PER_S = 1000
# A target that is gone for good is so beyond the end of a run.
_FOR_EVER_S = 3600.0


class TargetLifePlayer(Player):
    """Plays the lives of the targets of a group."""

    def __init__(self, *, group: TargetGroup) -> None:
        self._group = group
        self._scene = group.member.scene
        self._departures = Departures(folder=self._scene.folder)
        self._plays = {'leave': self._leave, 'crash': self._crash}
        self.kinds = frozenset(('arrive', *self._plays))

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption, if its host is of this group."""
        host = self._scene.host_named(disruption.host)
        if host.group != self._group.member.group:
            return
        if disruption.kind == 'arrive':
            await self._group.start(host)
            return
        life = self._group.life(host)
        if life is not None:
            await self._plays[disruption.kind](life, disruption)

    async def _leave(self, life: TargetLife, disruption: Disruption) -> None:
        drain_s = self._scene.site.bounds.drain_ms / _MS_PER_S
        await life.leave(leaving_of(disruption, drain_s))
        self._departures.note(disruption.host)

    async def _crash(self, life: TargetLife, disruption: Disruption) -> None:
        host = life.target.host
        self._note(host, disruption)
        if disruption.how == 'dark':
            life.darken()
        else:
            life.end()
        if not disruption.for_s:
            return
        await asyncio.sleep(disruption.for_s)
        # Its address may be another's by now, and one that left stays away.
        if self._group.life(host) is life and not life.has_left:
            await self._group.start(host)

    def _note(self, host: Host, disruption: Disruption) -> None:
        now_s = time.monotonic()
        self._group.member.records.add(
            TroubleRecord(
                host=host.name,
                kind=disruption.kind,
                from_s=now_s,
                until_s=now_s + (disruption.for_s or _FOR_EVER_S),
                is_of_target=True,
            )
        )


def leaving_of(disruption: Disruption, drain_s: float) -> Leaving:
    """Return how a target leaves, by a disruption."""
    if disruption.how == NOTICE:
        return Leaving(drain_s=0, serves_on_s=0, gone_after_s=disruption.for_s)
    return Leaving(
        drain_s=drain_s,
        serves_on_s=disruption.for_s,
        is_abrupt=disruption.how == 'abrupt',
    )
