"""The trouble of one target: slowness, refusals and odd answers, by time."""

import random
from types import MappingProxyType

from tools.site_rig.answer_ways import PLAIN, endless_way
from tools.site_rig.endless import ENDLESS
from tools.site_rig.load_clock import LoadClock
from tools.site_rig.scene import Disruption

SLOW = 'srv_slow'
GREY = 'srv_grey'
GARBLE = 'garble'
_SHED = 'shed'
_EARLY = 'early'
# Ways of answering of each word, by the words of its `how`.
_WAYS = MappingProxyType(
    {
        (GARBLE, ''): ('cut head', 'cut body', 'spoiled'),
        (GARBLE, 'extra'): ('twice',),
        (GARBLE, 'extra late'): ('twice', 'twice late'),
        (GARBLE, 'unframed'): ('unframed', 'unframed reset'),
        ('answer_lost', ''): ('lost',),
        ('answer_lost', 'reset'): ('lost by reset',),
        ('endless', ''): tuple(endless_way(name) for name in ENDLESS),
        **{('endless', name): (endless_way(name),) for name in ENDLESS},
    }
)


class TargetTroubles:
    """Says how a target is to behave now."""

    def __init__(
        self,
        *,
        disruptions: tuple[Disruption, ...],
        clock: LoadClock,
        rng: random.Random,
    ) -> None:
        self._disruptions = disruptions
        self._clock = clock
        self._rng = rng

    @property
    def slowness(self) -> float:
        """Return how many times as long its work takes."""
        return max((found.strength for found in self._now(SLOW)), default=1)

    def sheds(self) -> bool:
        """Tell whether it rejects a request though it is healthy."""
        return self._strikes(GREY, is_shedding=True)

    def fails(self) -> bool:
        """Tell whether it fails a request that it has run."""
        return self._strikes(GREY, is_shedding=False)

    def rejects_early(self) -> bool:
        """Tell whether it answers a long request before it has read it."""
        return any(
            self._rng.random() < found.strength
            for found in self._now(GARBLE)
            if found.how == _EARLY
        )

    def way(self) -> str:
        """Return the way of its next answer."""
        for found in self._now(''):
            ways = _WAYS.get((found.kind, found.how), ())
            if ways and self._rng.random() < found.strength:
                return self._rng.choice(ways)
        return PLAIN

    def _strikes(self, kind: str, *, is_shedding: bool) -> bool:
        return any(
            self._rng.random() < found.strength
            for found in self._now(kind)
            if (_SHED in found.how.split()) is is_shedding
        )

    def _now(self, kind: str) -> list[Disruption]:
        load_s = self._clock.load_s
        return [
            found
            for found in self._disruptions
            if found.lasts_at(load_s) and kind in ('', found.kind)
        ]
