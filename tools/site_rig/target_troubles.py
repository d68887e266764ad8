"""The trouble of one target: slowness, refusals and odd answers."""

import random
from types import MappingProxyType

from tools.site_rig.answer_ways import PLAIN, endless_way
from tools.site_rig.endless import ENDLESS
from tools.site_rig.scene import Disruption

SLOW = 'srv_slow'
GREY = 'srv_grey'
GARBLE = 'garble'
_LOST = 'answer_lost'
_ENDLESS = 'endless'
_STALL = 'stall'
_SHED = 'shed'
_EARLY = 'early'
# Ways of answering of each word, by the words of its `how` in their order.
_WAYS = MappingProxyType(
    {
        (GARBLE, ''): ('cut head', 'cut body', 'spoiled'),
        (GARBLE, 'extra'): ('twice',),
        (GARBLE, 'extra late'): ('twice', 'twice late'),
        (GARBLE, 'unframed'): ('unframed', 'unframed reset'),
        (_LOST, ''): ('lost',),
        (_STALL, ''): ('stalled',),
        (_LOST, 'reset'): ('lost by reset',),
        (_ENDLESS, ''): tuple(endless_way(name) for name in ENDLESS),
        **{
            (_ENDLESS, ' '.join(sorted(name.split()))): (endless_way(name),)
            for name in ENDLESS
        },
    }
)
TROUBLES = frozenset((SLOW, GREY, GARBLE, _LOST, _STALL, _ENDLESS))


class TargetTroubles:
    """Says how a target is to behave now."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._present: list[Disruption] = []

    def begin(self, disruption: Disruption) -> None:
        """Behave so from now on."""
        self._present.append(disruption)

    def end(self, disruption: Disruption) -> None:
        """Behave so no more."""
        self._present.remove(disruption)

    @property
    def slowness(self) -> float:
        """Return how many times as long its work takes."""
        return max((found.ratio for found in self._of(SLOW)), default=1)

    def sheds(self) -> bool:
        """Tell whether it rejects a request though it is healthy."""
        return self._strikes(
            found for found in self._of(GREY) if _SHED in found.how
        )

    def fails(self) -> bool:
        """Tell whether it fails a request that it has run."""
        return self._strikes(
            found for found in self._of(GREY) if _SHED not in found.how
        )

    def rejects_early(self) -> bool:
        """Tell whether it answers a long request before it has read it."""
        return self._strikes(
            found for found in self._of(GARBLE) if found.how == _EARLY
        )

    def way(self) -> str:
        """Return the way of its next answer."""
        for found in self._present:
            ways = _WAYS.get((found.kind, found.how), ())
            if ways and self._rng.random() < found.ratio:
                return self._rng.choice(ways)
        return PLAIN

    def _of(self, kind: str) -> list[Disruption]:
        return [found for found in self._present if found.kind == kind]

    def _strikes(self, troubles) -> bool:
        return any(self._rng.random() < found.ratio for found in troubles)
