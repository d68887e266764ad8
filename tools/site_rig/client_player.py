"""Plays what presses the clients."""

import asyncio
import time

from tools.site_rig.client_troubles import CLIENT_TROUBLES, ClientTroubles
from tools.site_rig.player import Player
from tools.site_rig.records import RecordFile, SignalKind, SignalRecord
from tools.site_rig.scene import Disruption


class ClientPlayer(Player):
    """Lets the clients of one failure domain behave oddly for a while."""

    kinds = CLIENT_TROUBLES

    def __init__(
        self, *, troubles: ClientTroubles, records: RecordFile
    ) -> None:
        self._troubles = troubles
        self._records = records

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption."""
        self._records.add(
            SignalRecord(
                host='',
                kind=SignalKind.TROUBLE,
                at_s=time.monotonic(),
                detail=disruption.kind,
            )
        )
        self._troubles.begin(disruption)
        await asyncio.sleep(disruption.for_s)
        self._troubles.end(disruption)
