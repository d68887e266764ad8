"""Words about the time of day of machines."""

from collections.abc import Iterator
from types import MappingProxyType

from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word

_MS_PER_S = 1000
_USUAL_S = 5.0
_USUAL_MS = 2000.0
_SHARE = 0.3
_SIGNS = MappingProxyType({'back': (-1,), 'ahead': (1,)})
_BOTH = (-1, 1)


def _step(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Let clocks jump, and back after a while."""
    named = (signs for how, signs in _SIGNS.items() if how in entry.hows)
    signs = next(named, _BOTH)
    by_s = (entry.ratio or _USUAL_MS) / _MS_PER_S
    for host in spread.machines(entry, _SHARE):
        yield Disruption(
            at_s=entry.at,
            kind=entry.kind,
            host=host.name,
            ratio=spread.rng.choice(signs) * by_s,
            for_s=entry.for_s or _USUAL_S,
        )


CLOCK_WORDS = MappingProxyType(
    {'clock_step': Word(maker=_step, hows=frozenset(_SIGNS))}
)
