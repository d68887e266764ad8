"""The disruptions of a run: those of a day, or all kinds at once."""

from collections.abc import Iterable, Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.answer_ways import endless_way
from tools.site_rig.drawn_plans import DRAWN, drawn_plan
from tools.site_rig.endless import ENDLESS
from tools.site_rig.node_words import killed
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import Closing, PlanEntry, Site
from tools.site_rig.spread import Spread
from tools.site_rig.weaker_words import WEAKER
from tools.site_rig.words import WORDS

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
_ENDLESS = PlanEntry(at=2, kind='endless', ratio=0.1, for_s=40)
_ALL_ENDLESS = (
    _ENDLESS,
    msgspec.structs.replace(_ENDLESS, how='length', ratio=0.2),
    msgspec.structs.replace(_ENDLESS, how='chunks', ratio=0.2),
)
_ODD_TARGETS = (
    PlanEntry(at=2, kind='garble', for_s=30),
    PlanEntry(at=4, kind='garble', how='extra', for_s=8),
    PlanEntry(at=8, kind='garble', how='early', ratio=0.2, for_s=20),
    PlanEntry(at=12, kind='garble', how='extra late', ratio=0.03, for_s=10),
    PlanEntry(at=16, kind='garble', how='unframed', ratio=0.05, for_s=12),
    PlanEntry(at=2, kind='stall', for_s=30),
    PlanEntry(at=3, kind='answer_lost', for_s=10),
    PlanEntry(at=14, kind='answer_lost', how='reset', ratio=0.06, for_s=10),
    PlanEntry(at=5, kind='srv_slow', ratio=5, for_s=8),
    PlanEntry(at=15, kind='srv_slow', share=0.4, ratio=12, for_s=6),
    PlanEntry(at=10, kind='srv_grey', for_s=6),
    PlanEntry(at=20, kind='srv_grey', how='shed', for_s=8),
)
_PRESSED = (
    PlanEntry(at=2, kind='burst', ratio=1.7, for_s=20),
    PlanEntry(at=5, kind='retry_abuse', share=0.4, for_s=8),
    PlanEntry(at=12, kind='give_up', for_s=6),
    PlanEntry(at=18, kind='shift', for_s=6),
)
_LINKS = (
    PlanEntry(at=2, kind='reset_conns', share=0.3),
    PlanEntry(at=4, kind='lossy', for_s=6),
    PlanEntry(at=7, kind='node_cut', share=0.2, for_s=4),
    PlanEntry(at=9, kind='reset_conns', how='silence', ratio=0.3),
    PlanEntry(at=14, kind='core_cut', how='all one_way', for_s=4),
    PlanEntry(at=17, kind='reset_conns', share=0.5),
    PlanEntry(at=19, kind='core_cut', how='split', for_s=3),
    PlanEntry(at=20, kind='node_cut', how='reset', share=0.2, for_s=3),
    PlanEntry(at=24, kind='core_cut', how='near leader', for_s=4),
    PlanEntry(at=25, kind='reset_conns', how='silence', ratio=0.5),
)
_CLOCKS = (
    PlanEntry(at=3, kind='clock_step', how='back', share=0.5, for_s=6),
    PlanEntry(at=12, kind='clock_step', how='ahead', ratio=60_000, for_s=8),
    PlanEntry(at=22, kind='clock_step', share=1, ratio=500, for_s=3),
    PlanEntry(at=14, kind='give_up', how='once', share=0.5, for_s=8),
)
# Plans of the rig's own, by their names.
OWN_PLANS = MappingProxyType(
    {
        MIXED: _MIXED_PLAN,
        'calm': (),
        'endless': _ALL_ENDLESS,
        **{
            endless_way(name): (
                msgspec.structs.replace(_ENDLESS, how=name, ratio=0.5),
            )
            for name in ENDLESS
        },
        'mixed+endless': (*_MIXED_PLAN, *_ALL_ENDLESS),
        'mixed+targets': (*_MIXED_PLAN, *_ODD_TARGETS),
        'mixed+clients': (*_MIXED_PLAN, *_PRESSED),
        'mixed+links': (*_MIXED_PLAN, *_LINKS),
        'mixed+clocks': (*_MIXED_PLAN, *_CLOCKS),
        'mixed+targets+endless': (
            *_MIXED_PLAN,
            *_ODD_TARGETS,
            *_ALL_ENDLESS,
        ),
        'mixed+all': (
            *_MIXED_PLAN,
            *_ODD_TARGETS,
            *_PRESSED,
            *_ALL_ENDLESS,
        ),
    }
)
# What strikes at the end comes after a change and in the load.
_CLOSING_BEFORE_END_S = 12.0
_AFTER_CHANGE_S = 0.01
_CLOSINGS = frozenset(('kill_all', 'power_off_all'))


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What happens in a run, and what of the day is left out."""

    hosts: tuple[Host, ...]
    disruptions: tuple[Disruption, ...]
    not_played: tuple[str, ...]


class Planner:
    """Spreads the words of a day over the hosts."""

    def __init__(self, *, spread: Spread) -> None:
        self._spread = spread
        self._not_played: list[str] = []

    def plan(
        self, entries: Iterable[PlanEntry], closing: Closing | None
    ) -> Plan:
        """Return what happens, in its order."""
        found: list[Disruption] = []
        for entry in sorted(entries, key=lambda planned: planned.at):
            found.extend(self._disruptions(entry))
        if closing is not None:
            found.extend(self._closing(closing))
        ends_s = self._spread.length_s
        return Plan(
            hosts=self._spread.hosts,
            disruptions=tuple(
                made
                for made in sorted(found, key=lambda made: made.at_s)
                if made.at_s < ends_s
            ),
            not_played=tuple(self._not_played),
        )

    def _disruptions(self, entry: PlanEntry) -> Iterator[Disruption]:
        word = WORDS.get(entry.kind)
        if word is None:
            self._leave_out(entry.kind, entry.how, entry.at)
            return
        rest = entry.hows - word.hows
        if rest:
            self._leave_out(entry.kind, ' '.join(sorted(rest)), entry.at)
        if word.lacks:
            self._leave_out(entry.kind, word.lacks, entry.at)
        for how in sorted(entry.hows & word.hows & set(WEAKER)):
            self._leave_out(entry.kind, f'{how} ({WEAKER[how]})', entry.at)
        made = list(word.maker(self._spread, entry))
        if not made:
            self._leave_out(entry.kind, '(no host for it)', entry.at)
        yield from made

    def _closing(self, closing: Closing) -> Iterator[Disruption]:
        at_s = self._spread.length_s - _CLOSING_BEFORE_END_S
        rest = closing.hows - {'all'}
        if closing.kind not in _CLOSINGS or rest:
            self._leave_out(closing.kind, ' '.join(sorted(rest)), at_s)
            return
        yield Disruption(at_s=at_s, kind='config_change', how='timeout')
        for host in self._spread.there(at_s):
            yield from killed(
                host,
                at_s + _AFTER_CHANGE_S,
                closing.down_s,
                is_dark=closing.kind == 'power_off_all',
            )

    def _leave_out(self, kind: str, how: str, at_s: float) -> None:
        word = f'{kind} {how}'.strip()
        self._not_played.append(f'{word} at {at_s:g} s')


def plan_of(spread: Spread, day: str) -> Plan:
    """Return the plan of a day by its name."""
    planner = Planner(spread=spread)
    if day == DRAWN:
        return planner.plan(drawn_plan(spread.site, spread.rng), None)
    if _is_own(day):
        return planner.plan(OWN_PLANS[day], None)
    found = spread.site.day_named(day)
    return planner.plan(found.entries, found.closing)


def length_of(site: Site, day: str, length_s: float) -> float:
    """Return the length of the load: what strikes at the end comes in it."""
    if _is_own(day) or site.day_named(day).closing is None:
        return length_s
    return length_s + _CLOSING_BEFORE_END_S


def site_of(site: Site, day: str) -> Site:
    """Return the site with the traffic of a day."""
    if _is_own(day):
        return site
    traffic = site.day_named(day).traffic or site.traffic
    return msgspec.structs.replace(site, traffic=traffic)


def _is_own(day: str) -> bool:
    """Tell whether a day is one of the rig's own."""
    return day == DRAWN or day in OWN_PLANS
