"""Words about the processes of nodes."""

import itertools
from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.companions import COMPANIONS, companions
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word

_USUAL_S = 5.0
_DOWN_S = 0.5
# Seconds after the change is sent.
_AFTER_ACK_S = (0.001, 0.004)
_TIMED_S = (0.005, 0.4)
_SLOW_RATIO = 5.0
# Clients stay beside a machine that is taken away until it has ended.
_REMOVED_AFTER_S = 1.0


def killed(
    host: Host, at_s: float, down_s: float, *, is_dark: bool
) -> Iterator[Disruption]:
    """Kill a node; a loss of power strikes the target beside it too."""
    struck = Disruption(
        at_s=at_s,
        kind='node_kill',
        host=host.name,
        how='dark' if is_dark else '',
        for_s=down_s,
    )
    yield struck
    if is_dark:
        yield msgspec.structs.replace(struck, kind='crash')


def _roll(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    at_once = max(1, int(entry.ratio or 1))
    for number, host in enumerate(spread.machines(entry, 1)):
        at_s = entry.at + number // at_once * entry.gap_s
        if 'remove' in entry.hows:
            spread.leave(host, at_s + _REMOVED_AFTER_S)
        yield Disruption(
            at_s=at_s,
            kind='roll_term',
            host=host.name,
            how=entry.how,
            is_busy='busy' in entry.hows,
        )


def _hup(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    for number, host in enumerate(spread.machines(entry, 0.3)):
        at_s = entry.at + number * entry.gap_s
        yield Disruption(at_s=at_s, kind='hup', host=host.name)


def _kill(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    is_dark = bool({'power', 'off'} & entry.hows)
    down_s = (entry.for_s or _USUAL_S) if is_dark else _DOWN_S
    yield from companions(spread, entry, entry.at + down_s)
    for host in spread.machines(entry, 0.6 if _is_herd(entry) else 0.1):
        yield from killed(host, entry.at, down_s, is_dark=is_dark)


def _kill_after_ack(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    yield Disruption(at_s=entry.at, kind='config_change', how='timeout')
    span = _TIMED_S if 'timed' in entry.hows else _AFTER_ACK_S
    is_kill = 'kill' in entry.hows
    down_s = _DOWN_S if is_kill else entry.for_s or _USUAL_S
    for host in itertools.islice(spread.machines(entry, 1), entry.count or 1):
        at_s = entry.at + spread.rng.uniform(*span)
        yield from killed(host, at_s, down_s, is_dark=not is_kill)


def _freeze(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    for host in spread.machines(entry, 0.1):
        yield Disruption(
            at_s=entry.at,
            kind='node_freeze',
            host=host.name,
            for_s=entry.for_s or _USUAL_S,
        )


def _slow(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    for host in spread.machines(entry, 0.1):
        yield Disruption(
            at_s=entry.at,
            kind='node_slow',
            host=host.name,
            ratio=entry.ratio or _SLOW_RATIO,
            for_s=entry.for_s or _USUAL_S,
        )


def _is_herd(entry: PlanEntry) -> bool:
    return entry.kind == 'herd_kill'


NODE_WORDS = MappingProxyType(
    {
        'roll_term': Word(maker=_roll, hows=frozenset(('busy', 'remove'))),
        'hup': Word(maker=_hup),
        'node_kill': Word(maker=_kill, hows=COMPANIONS | frozenset(('power',))),
        'herd_kill': Word(
            maker=_kill, hows=COMPANIONS | frozenset(('power', 'off'))
        ),
        'after_ack_kill': Word(
            maker=_kill_after_ack, hows=frozenset(('kill', 'timed'))
        ),
        'node_freeze': Word(maker=_freeze),
        'node_slow': Word(maker=_slow),
    }
)
