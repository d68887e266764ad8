"""The disruptions of a run: those of a day, or all kinds at once."""

import itertools
import math
import random
from collections.abc import Iterator

from tools.site_rig.configurations import IDLE_LIMITS_S
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry, Site

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
        count = math.ceil(entry.share * len(self._hosts))
        chosen = self._rng.sample(self._hosts, count)
        for number, host in enumerate(chosen):
            yield Disruption(
                at_s=entry.at + number * entry.gap_s,
                kind=entry.kind,
                host=host.name,
                is_busy=entry.how == 'busy',
            )

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
    if day == MIXED:
        return _MIXED_PLAN
    return next(found.plan for found in site.day if found.name == day)
