"""Words about the operator's configuration."""

from collections.abc import Iterator
from types import MappingProxyType

from tools.site_rig.configurations import IDLE_LIMITS_S
from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word

_HOWS = frozenset(('timeout', 'idle', 'route', 'weights', 'skew'))


def _configure(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    count = 1 + int((entry.for_s or 0) / entry.gap_s)
    for number in range(entry.count or count):
        is_idle = entry.how == 'idle'
        yield Disruption(
            at_s=entry.at + number * entry.gap_s,
            kind='config_change',
            how=entry.how,
            idle_limit_s=spread.rng.choice(IDLE_LIMITS_S) * is_idle,
        )


CONFIGURATION_WORDS = MappingProxyType(
    {
        'config_change': Word(maker=_configure, hows=_HOWS),
        'config_storm': Word(maker=_configure, hows=_HOWS),
    }
)
