"""Words about the links of nodes.

There are no counted machines on the sites: ``core`` means any. A plain
``core_cut`` is between a machine and the store, a ``node_cut`` between it and
all others, the store too.
"""

from collections.abc import Iterable, Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.companions import COMPANIONS, companions
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word
from tools.site_rig.store_words import at_gates

_USUAL_S = 5.0
_CUT_SHARE = 0.1
_LOSS_RATIO = 0.03
_RESET_RATIO = 0.5
_RESET_SHARE = 0.1
_SQUEEZE_SHARE = 0.2
_SQUEEZE_MBPS = 10.0
_REGIONS_MBPS = 20.0
_ONE_WAY = 'one_way'
_LEADER = 'leader'
_SPLIT = 'split'
_MUTUAL_IN_TOUCH = 'mutual in_touch'
# What a cut does to what crosses it; silence is usual.
_CUT_HOWS = frozenset((_ONE_WAY, 'reset', 'refuse'))
# The same at the gates of the store.
_STORE_HOWS = ((_ONE_WAY, 'mute'), ('reset', 'reset'), ('refuse', 'reset'))


def _cut_node(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    hosts = spread.machines(entry, _CUT_SHARE)
    yield from _cut_from_store(spread, entry, hosts)
    yield from _cut(entry, hosts, spread.hosts)


def _cut_core(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    if _SPLIT in entry.hows:
        yield from _split(spread, entry)
        return
    counted = msgspec.structs.replace(entry, count=entry.count or 1)
    hosts = spread.machines(counted, _CUT_SHARE)
    yield from _cut_from_store(spread, entry, hosts)
    if 'all' in entry.hows:
        yield from _cut(entry, hosts, spread.hosts)
    elif 'near' in entry.hows:
        zones = {host.zone for host in hosts}
        others = [host for host in spread.hosts if host.zone not in zones]
        yield from _cut(entry, hosts, others)


def _cut_from_store(
    spread: Spread, entry: PlanEntry, hosts: list[Host]
) -> Iterator[Disruption]:
    hows = (how for word, how in _STORE_HOWS if word in entry.hows)
    how = next(hows, 'silent')
    is_led = _LEADER in entry.hows
    yield from at_gates(
        spread, entry, hosts, f'{how} {_LEADER}' if is_led else how
    )


def _cut(
    entry: PlanEntry,
    hosts: Iterable[Host],
    others: Iterable[Host],
    how: str = '',
) -> Iterator[Disruption]:
    """Cut machines from those others that they aren't themselves."""
    names, other_names = _names(hosts), _names(others)
    hows = sorted(entry.hows & _CUT_HOWS)
    if names and other_names:
        yield Disruption(
            at_s=entry.at,
            kind='link_cut',
            how=' '.join((*hows, how)).strip(),
            hosts=names,
            others=other_names,
            for_s=entry.for_s or _USUAL_S,
        )


def _split(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Cut half of the machines from the others; all reach the store.

    So they are in touch, unless their connections are reset.
    """
    hosts = spread.there(entry.at)
    half = spread.rng.sample(hosts, len(hosts) // 2)
    rest = [host for host in hosts if host not in half]
    ends_s = entry.at + (entry.for_s or _USUAL_S)
    yield from companions(spread, entry, ends_s)
    is_reset = bool({'reset', 'refuse'} & entry.hows)
    how = 'mutual' if is_reset else _MUTUAL_IN_TOUCH
    yield from _cut(entry, half, rest, how)


def _lose(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    there = spread.there(entry.at)
    zones = sorted({host.zone for host in there})
    zone = entry.zone or spread.rng.choice(zones)
    if zone in zones:
        yield Disruption(
            at_s=entry.at,
            kind='lossy',
            hosts=_names(host for host in there if host.zone == zone),
            others=_names(host for host in spread.hosts if host.zone != zone),
            ratio=entry.ratio or _LOSS_RATIO,
            for_s=entry.for_s or _USUAL_S,
        )


def _squeeze(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    if 'regions' in entry.hows:
        yield from _squeeze_regions(spread, entry)
        return
    hosts = spread.machines(entry, _SQUEEZE_SHARE)
    if hosts:
        yield _squeezed(entry, hosts, spread.hosts, _SQUEEZE_MBPS)


def _squeeze_regions(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Give each machine its part of the link between two regions."""
    by_region: dict[str, list[Host]] = {}
    for host in spread.there(entry.at):
        by_region.setdefault(host.region, []).append(host)
    regions = sorted(by_region)
    if len(regions) > 1:
        here, there = spread.rng.sample(regions, 2)
        count = max(len(by_region[here]), len(by_region[there]))
        yield _squeezed(
            entry, by_region[here], by_region[there], _REGIONS_MBPS, count
        )


def _squeezed(
    entry: PlanEntry,
    hosts: Iterable[Host],
    others: Iterable[Host],
    usual_mbps: float,
    parts: int = 1,
) -> Disruption:
    return Disruption(
        at_s=entry.at,
        kind='link_squeeze',
        how=_MUTUAL_IN_TOUCH if 'regions' in entry.hows else '',
        hosts=_names(hosts),
        others=_names(others),
        ratio=(entry.ratio or usual_mbps) / parts,
        for_s=entry.for_s or _USUAL_S,
    )


def _reset(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    is_silence = 'silence' in entry.hows
    hosts = spread.machines(entry, 1 if is_silence else _RESET_SHARE)
    if hosts:
        yield Disruption(
            at_s=entry.at,
            kind='reset_conns',
            how='silence' if is_silence else 'reset',
            hosts=_names(hosts),
            ratio=entry.ratio or _RESET_RATIO,
        )


def _names(hosts: Iterable[Host]) -> tuple[str, ...]:
    return tuple(host.name for host in hosts)


_NOT_SHARED = '(its connections do not share the link)'
LINK_WORDS = MappingProxyType(
    {
        'node_cut': Word(
            maker=_cut_node,
            hows=COMPANIONS | _CUT_HOWS | frozenset(('all',)),
        ),
        'core_cut': Word(
            maker=_cut_core,
            hows=COMPANIONS
            | _CUT_HOWS
            | frozenset((_LEADER, _SPLIT, 'all', 'near')),
        ),
        'lossy': Word(maker=_lose),
        'link_squeeze': Word(
            maker=_squeeze, hows=frozenset(('regions',)), lacks=_NOT_SHARED
        ),
        'reset_conns': Word(maker=_reset, hows=frozenset(('silence',))),
    }
)
