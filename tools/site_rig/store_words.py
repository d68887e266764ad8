"""Words about the store.

A store that is down, slow or loses answers is so at the gates of the hosts
that the word is about.
"""

from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.companions import COMPANIONS, companions
from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word

_USUAL_S = 5.0
_SLOW_RATIO = 50.0
_LOST_SHARE = 0.3
_STALE_S = 3.0
# For how many of its machines a store is down that is down for some.
_SHARE = 0.35
_HOWS = ('silent', 'busy', 'reset')
# Watches hear nothing for as long before the history is dropped.
_DEAF_S = 1.0
# Until a lease of a node, and its margin, have run out.
_LEASE_S = 8.5


def _down(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    how = next((word for word in _HOWS if word in entry.hows), 'silent')
    is_for_some = 'nodes' in entry.hows
    hosts = spread.machines(entry, _SHARE) if is_for_some else spread.hosts
    if 'lapse' in entry.hows:
        for_s = max(entry.for_s or 0, _LEASE_S)
        entry = msgspec.structs.replace(entry, for_s=for_s)
    yield from at_gates(spread, entry, hosts, how)


def _slow(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    ratio = entry.ratio or _SLOW_RATIO
    yield from at_gates(spread, entry, spread.hosts, 'slow', ratio)


def _lost(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    how = 'lost late' if 'late' in entry.hows else 'lost'
    ratio = entry.ratio or _LOST_SHARE
    yield from at_gates(spread, entry, spread.hosts, how, ratio)


def _compact(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    gap = msgspec.structs.replace(entry, for_s=_DEAF_S)
    yield from at_gates(spread, gap, spread.hosts, 'deaf')
    yield Disruption(at_s=entry.at, kind='config_change', how='timeout')
    yield Disruption(
        at_s=entry.at + _DEAF_S,
        kind='store_compact',
        ratio=entry.ratio or _STALE_S,
        for_s=entry.for_s or _USUAL_S,
    )


def at_gates(
    spread: Spread, entry: PlanEntry, hosts, how: str, ratio: float = 0
) -> Iterator[Disruption]:
    """Let something be wrong at the gates of hosts, and what comes with it."""
    for_s = entry.for_s or _USUAL_S
    is_gap = entry.kind == 'platform_compact'
    leaves_s = entry.at if is_gap else None
    yield from companions(spread, entry, entry.at + for_s, leaves_s)
    for host in hosts:
        yield Disruption(
            at_s=entry.at,
            kind='store_gate',
            host=host.name,
            how=how,
            ratio=ratio,
            for_s=for_s,
        )


STORE_WORDS = MappingProxyType(
    {
        'platform_down': Word(
            maker=_down, hows=COMPANIONS | frozenset((*_HOWS, 'nodes', 'lapse'))
        ),
        'platform_slow': Word(maker=_slow),
        'platform_lost': Word(maker=_lost, hows=frozenset(('late',))),
        'platform_compact': Word(maker=_compact, hows=COMPANIONS),
    }
)
