"""Plays the troubles of the store."""

import asyncio
from types import MappingProxyType

import msgspec

from tools.site_rig.player import Player
from tools.site_rig.scene import Disruption
from tools.site_rig.stage import Stage
from tools.site_rig.store_gates import GateState, StoreGate

# An answer usually takes as long; a slow one takes a multiple of it.
_USUAL_DELAY_S = 0.004
_LATE_S = (1.0, 6.0)
_LEADER = 'leader'


class StorePlayer(Player):
    """Sets the states of gates, and drops the history."""

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self._plays = {
            'store_gate': self._harm,
            'store_compact': self._compact,
        }
        self.kinds = frozenset(self._plays)

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption."""
        await self._plays[disruption.kind](disruption)

    async def _harm(self, disruption: Disruption) -> None:
        gate = self._gate(disruption)
        harmed = state_of(disruption)
        gate.state = harmed
        await asyncio.sleep(disruption.for_s)
        # Another trouble may have begun meanwhile.
        if gate.state is harmed:
            gate.state = GateState()

    def _gate(self, disruption: Disruption) -> StoreGate:
        if _LEADER in disruption.how.split():
            return self._stage.gates.last_writer()
        host = self._stage.scene.host_named(disruption.host)
        return self._stage.gates.gate(host)

    async def _compact(self, disruption: Disruption) -> None:
        store = self._stage.gates.store
        store.stale_s = disruption.ratio
        store.compact()
        await asyncio.sleep(disruption.for_s)
        store.stale_s = 0


def state_of(disruption: Disruption) -> GateState:
    """Return what a disruption does to the calls of its host."""
    state = _STATES[disruption.how.split()[0]]
    ratio = disruption.ratio
    return msgspec.structs.replace(
        state,
        delay_s=_USUAL_DELAY_S * ratio * bool(state.delay_s),
        lost_share=ratio * bool(state.lost_share),
        late_s=_LATE_S if 'late' in disruption.how else (0, 0),
    )


_STATES = MappingProxyType(
    {
        'silent': GateState(is_silent=True),
        'busy': GateState(is_busy=True),
        'reset': GateState(is_resetting=True),
        'deaf': GateState(is_deaf=True),
        'mute': GateState(is_mute=True),
        'slow': GateState(delay_s=1),
        'lost': GateState(lost_share=1),
    }
)
