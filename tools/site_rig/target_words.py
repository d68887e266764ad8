"""Words about how targets, and their machines with them, come and go."""

from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word

# It is gone a while after the notice, drained or not.
NOTICE = 'notice'
_MS_PER_S = 1000
_USUAL_S = 5.0
_ABRUPT_SHARE = 0.3
_SERVES_ON_S = (0.2, 1.5)
# A new target is there before the old one leaves.
_STARTS_FIRST_S = 2.0
# Until the leaving is acknowledged and the node has ended.
_SLACK_S = 2.0
# A node ends after its target, and takes its time.
_STOP_AFTER_S = 0.3
_STOPPED_AFTER_S = 7.0
_REUSE_S = 2.5


def leaving(
    spread: Spread, host: Host, at_s: float, serves_on_s: float = 0
) -> Disruption:
    """Let a target drain, or just leave, and its node end after it."""
    on_s = serves_on_s or spread.rng.uniform(*_SERVES_ON_S)
    spread.leave(host, at_s + _leaves_after_s(spread, on_s))
    is_abrupt = spread.rng.random() < _ABRUPT_SHARE
    return Disruption(
        at_s=at_s,
        kind='leave',
        host=host.name,
        how='abrupt' if is_abrupt else '',
        for_s=on_s,
    )


def _release(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    at_once = max(1, int(entry.ratio or 1))
    for number, old in enumerate(spread.servers(entry, 0.5)):
        at_s = entry.at + number // at_once * entry.gap_s
        if spread.is_dry(old, at_s):
            continue
        yield arrival(spread.add(old, at_s))
        yield leaving(spread, old, at_s + _STARTS_FIRST_S)


def _scale_out(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    chosen = spread.servers(entry, 0.3)
    for number, like in enumerate(chosen):
        at_s = entry.at + entry.gap_s * number / len(chosen)
        if spread.is_dry(like, at_s):
            continue
        yield arrival(spread.add(like, at_s))


def _replace(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    lasts_s = 0 if 'side' in entry.hows else _STOPPED_AFTER_S
    for old in spread.servers(entry, 0.15):
        free_s = entry.at + lasts_s + _REUSE_S
        if 'drain' in entry.hows:
            left = leaving(spread, old, entry.at)
            free_s += _leaves_after_s(spread, left.for_s)
            yield left
        else:
            yield from _lose(spread, old, entry)
        other = _of_other_service(spread, old)
        yield arrival(spread.add(other, free_s, ip=old.ip))


def _lose(spread: Spread, host: Host, entry: PlanEntry) -> Iterator[Disruption]:
    how = 'dark' if 'dark' in entry.hows else ''
    spread.leave(host, entry.at + _STOP_AFTER_S)
    yield Disruption(at_s=entry.at, kind='crash', host=host.name, how=how)
    if 'side' in entry.hows:
        yield Disruption(
            at_s=entry.at,
            kind='host_loss',
            host=host.name,
            how=how,
            for_s=_REUSE_S / 2,
        )
    else:
        yield Disruption(
            at_s=entry.at + _STOP_AFTER_S, kind='host_stop', host=host.name
        )


def _crash(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    for host in spread.servers(entry, 0.15):
        if 'gone' in entry.hows:
            yield from _lose(spread, host, entry)
            continue
        yield Disruption(
            at_s=entry.at,
            kind='crash',
            host=host.name,
            how='dark' if 'dark' in entry.hows else '',
            for_s=entry.for_s or _USUAL_S,
        )


def arrival(host: Host) -> Disruption:
    """Let a host and its target arrive."""
    return Disruption(at_s=host.arrives_s, kind='arrive', host=host.name)


def _leaves_after_s(spread: Spread, serves_on_s: float) -> float:
    drain_s = spread.site.bounds.drain_ms / _MS_PER_S
    return drain_s + serves_on_s + _SLACK_S


def _of_other_service(spread: Spread, host: Host) -> Host:
    services = [
        service
        for service in spread.site.services
        if service.name != host.service
    ]
    service = spread.rng.choice(services)
    return msgspec.structs.replace(
        host, service=service.name, speed=service.speeds[0]
    )


TARGET_WORDS = MappingProxyType(
    {
        'release': Word(maker=_release),
        'scale_out': Word(maker=_scale_out),
        'replace_with_reuse': Word(
            maker=_replace, hows=frozenset(('dark', 'drain', 'side'))
        ),
        'srv_crash': Word(
            maker=_crash, hows=frozenset(('dark', 'gone', 'all'))
        ),
    }
)
