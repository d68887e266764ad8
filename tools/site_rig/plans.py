"""The disruptions of a run: those of a day, or all kinds at once."""

import itertools
import math
import random
from collections.abc import Iterator
from types import MappingProxyType

from tools.site_rig.configurations import IDLE_LIMITS_S
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry, Site
from tools.site_rig.trouble_plans import TROUBLES, spread_trouble

MIXED = 'mixed'
_CONFIGURATION_KINDS = ('timeout', 'idle', 'route', 'weights', 'skew')
_CONFIGURATION_GAP_S = 1.7
_MIXED_PLAN = (
    PlanEntry(at=1, kind='roll_term', gap_s=2),
    PlanEntry(at=3, kind='hup', share=0.833, gap_s=1.71),
    PlanEntry(at=10, kind='roll_term', how='busy', gap_s=1),
    *(
        PlanEntry(
            at=1.5 + number * _CONFIGURATION_GAP_S,
            kind='config_change',
            how=_CONFIGURATION_KINDS[number % len(_CONFIGURATION_KINDS)],
        )
        for number in range(20)
    ),
)
_ENDLESS = PlanEntry(at=2, kind='endless', for_s=40)
_ODD_TARGETS = (
    PlanEntry(at=2, kind='garble', for_s=30),
    PlanEntry(at=4, kind='garble', how='extra', for_s=8),
    PlanEntry(at=8, kind='garble', how='early', x=0.2, for_s=20),
    PlanEntry(at=12, kind='garble', how='extra late', x=0.03, for_s=10),
    PlanEntry(at=16, kind='garble', how='unframed', x=0.05, for_s=12),
    PlanEntry(at=3, kind='answer_lost', for_s=10),
    PlanEntry(at=14, kind='answer_lost', how='reset', x=0.06, for_s=10),
    PlanEntry(at=5, kind='srv_slow', x=5, for_s=8),
    PlanEntry(at=15, kind='srv_slow', share=0.4, x=12, for_s=6),
    PlanEntry(at=10, kind='srv_grey', for_s=6),
    PlanEntry(at=20, kind='srv_grey', how='shed', for_s=8),
)
_OWN_PLANS = MappingProxyType(
    {
        MIXED: _MIXED_PLAN,
        'calm': (),
        'endless': (_ENDLESS,),
        'mixed+endless': (*_MIXED_PLAN, _ENDLESS),
        'mixed+targets': (*_MIXED_PLAN, *_ODD_TARGETS),
        'mixed+all': (*_MIXED_PLAN, *_ODD_TARGETS, _ENDLESS),
    }
)


class Planner:
    """Spreads the plan of a day over the hosts."""

    def __init__(
        self, *, hosts: tuple[Host, ...], length_s: float, seed: int
    ) -> None:
        self._hosts = hosts
        self._length_s = length_s
        self._rng = random.Random(seed)  # noqa: S311
        self._makers = {
            'roll_term': self._roll,
            'hup': self._roll,
            'config_change': self._configure,
            'config_storm': self._configure,
            **dict.fromkeys(TROUBLES, self._trouble),
        }

    def disruptions(self, site: Site, day: str) -> tuple[Disruption, ...]:
        """Return what happens, in its order."""
        found = itertools.chain.from_iterable(
            self._makers[entry.kind](entry)
            for entry in plan_of(site, day)
            if entry.kind in self._makers
        )
        in_time = [made for made in found if made.at_s < self._length_s]
        return tuple(sorted(in_time, key=lambda made: made.at_s))

    def _roll(self, entry: PlanEntry) -> Iterator[Disruption]:
        count = math.ceil((entry.share or 1) * len(self._hosts))
        chosen = self._rng.sample(self._hosts, count)
        for number, host in enumerate(chosen):
            yield Disruption(
                at_s=entry.at + number * entry.gap_s,
                kind=entry.kind,
                host=host.name,
                is_busy=entry.how == 'busy',
            )

    def _trouble(self, entry: PlanEntry) -> Iterator[Disruption]:
        return spread_trouble(entry, self._hosts, self._rng)

    def _configure(self, entry: PlanEntry) -> Iterator[Disruption]:
        count = 1 + int(entry.for_s / entry.gap_s)
        for number in range(count):
            is_idle = entry.how == 'idle'
            yield Disruption(
                at_s=entry.at + number * entry.gap_s,
                kind='config_change',
                how=entry.how,
                idle_limit_s=self._rng.choice(IDLE_LIMITS_S) * is_idle,
            )


def plan_of(site: Site, day: str) -> tuple[PlanEntry, ...]:
    """Return the plan of a day by its name."""
    plans = {found.name: (*found.plan, *found.faults) for found in site.day}
    return {**plans, **_OWN_PLANS}[day]
