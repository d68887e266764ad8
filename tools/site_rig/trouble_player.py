"""Plays how targets behave."""

import asyncio
import time

from tools.site_rig.player import Player
from tools.site_rig.records import SignalKind, SignalRecord
from tools.site_rig.scene import Disruption
from tools.site_rig.target_group import TargetGroup
from tools.site_rig.target_troubles import TROUBLES


class TroublePlayer(Player):
    """Lets targets of its process behave oddly for a while."""

    kinds = TROUBLES

    def __init__(self, *, group: TargetGroup) -> None:
        self._group = group

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption, unless its target is elsewhere or gone."""
        target = self._group.targets.get(disruption.host)
        if target is None:
            return
        self._group.member.records.add(
            SignalRecord(
                host=disruption.host,
                kind=SignalKind.TROUBLE,
                at_s=time.monotonic(),
                detail=f'{disruption.kind} {disruption.how}',
            )
        )
        target.troubles.begin(disruption)
        await asyncio.sleep(disruption.for_s)
        target.troubles.end(disruption)
