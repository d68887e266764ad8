"""Words about the store and the ways to it.

A store that is down, slow or loses answers is so at the gates of the hosts
that the word is about; a cut closes their gates.
"""

from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word
from tools.site_rig.target_words import leaving

_USUAL_S = 5.0
_SLOW_RATIO = 50.0
_LOST_SHARE = 0.3
_STALE_S = 3.0
# For how many of its machines a store is down that is down for some.
_SHARE = 0.35
_CUT_SHARE = 0.1
_HOWS = ('silent', 'busy', 'reset')
# Watches hear nothing for as long before the history is dropped.
_DEAF_S = 1.0
# A target leaves soon after, or in the gap before the history is dropped.
_LEAVES_AFTER_S = 0.5
# A change is sent to a machine as it returns.
_MEETS_BEFORE_S = 0.1


def _down(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    how = next((word for word in _HOWS if word in entry.hows), 'silent')
    is_for_some = 'nodes' in entry.hows
    hosts = spread.machines(entry, _SHARE) if is_for_some else spread.hosts
    yield from _at_gates(spread, entry, hosts, how)


def _slow(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    ratio = entry.ratio or _SLOW_RATIO
    yield from _at_gates(spread, entry, spread.hosts, 'slow', ratio)


def _lost(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    how = 'lost late' if 'late' in entry.hows else 'lost'
    ratio = entry.ratio or _LOST_SHARE
    yield from _at_gates(spread, entry, spread.hosts, how, ratio)


def _compact(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    gap = msgspec.structs.replace(entry, for_s=_DEAF_S)
    yield from _at_gates(spread, gap, spread.hosts, 'deaf')
    yield Disruption(at_s=entry.at, kind='config_change', how='timeout')
    yield Disruption(
        at_s=entry.at + _DEAF_S,
        kind='store_compact',
        ratio=entry.ratio or _STALE_S,
        for_s=entry.for_s or _USUAL_S,
    )


def _cut(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    hosts = spread.machines(entry, _CUT_SHARE)
    yield from _at_gates(spread, entry, hosts, 'silent')


def _cut_core(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    count = entry.count or 1
    yield from _cut(spread, msgspec.structs.replace(entry, count=count))


def _at_gates(
    spread: Spread, entry: PlanEntry, hosts, how: str, ratio: float = 0
) -> Iterator[Disruption]:
    yield from _around(spread, entry)
    for host in hosts:
        yield Disruption(
            at_s=entry.at,
            kind='store_gate',
            host=host.name,
            how=how,
            ratio=ratio,
            for_s=entry.for_s or _USUAL_S,
        )


def _around(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Make what ``meet``, ``race`` and ``drain`` add near the end."""
    ends_s = entry.at + (entry.for_s or _USUAL_S)
    changes = ('meet' in entry.hows) + 2 * ('race' in entry.hows)
    for _ in range(changes):
        yield Disruption(
            at_s=ends_s - _MEETS_BEFORE_S, kind='config_change', how='route'
        )
    if 'drain' in entry.hows:
        is_gap = entry.kind == 'platform_compact'
        at_s = entry.at if is_gap else ends_s
        for host in spread.servers(entry, _CUT_SHARE)[:1]:
            yield leaving(spread, host, at_s + _LEAVES_AFTER_S)


_BETWEEN_NODES = '(between nodes)'
_AROUND = frozenset(('meet', 'race', 'drain'))
STORE_WORDS = MappingProxyType(
    {
        'platform_down': Word(
            maker=_down, hows=_AROUND | frozenset((*_HOWS, 'nodes'))
        ),
        'platform_slow': Word(maker=_slow),
        'platform_lost': Word(maker=_lost, hows=frozenset(('late',))),
        'platform_compact': Word(maker=_compact, hows=_AROUND),
        'node_cut': Word(maker=_cut, hows=_AROUND, lacks=_BETWEEN_NODES),
        'core_cut': Word(maker=_cut_core, hows=_AROUND, lacks=_BETWEEN_NODES),
    }
)
