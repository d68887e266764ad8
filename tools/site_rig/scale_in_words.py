"""Words about targets that are taken away, with notice or when drained."""

from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word
from tools.site_rig.target_words import NOTICE, arrival, leaving

_SHARE = 0.15
_SPOT_S = 2.0
_OTHERS_AFTER_S = 4.0
_RECLAIM_S = 2.5
_USUAL_S = 5.0
# A node has ended as long after its target.
_NODE_ENDS_S = 7.0


def _scale_in(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    ways = (way for how, way in _WAYS if how in entry.hows)
    yield from next(ways, _drain)(spread, entry)


def _drain(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    is_staying = 'stay' in entry.hows
    for host in spread.servers(entry, _SHARE):
        yield leaving(spread, host, entry.at, is_staying * (entry.for_s or 0))


def _spot(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Take some targets away soon after a notice; others come."""
    after_s = entry.ratio or _SPOT_S
    for host in spread.servers(entry, _SHARE):
        yield _notice(spread, host, entry.at, after_s)
        comes_s = entry.at + after_s + _OTHERS_AFTER_S
        yield arrival(spread.add(host, comes_s))


def _reclaim(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Take away all of a failure domain; no others are to be had there."""
    zones = sorted({host.zone for host in spread.there(entry.at)})
    zone = entry.zone or spread.rng.choice(zones)
    after_s = entry.ratio or _RECLAIM_S
    for host in _to_spare(spread, entry.at, zone):
        yield _notice(spread, host, entry.at, after_s)
    for_s = entry.for_s or _USUAL_S
    dry_zone = '' if 'dry' in entry.hows else zone
    spread.dry_up(dry_zone, entry.at + after_s + for_s)


def _to_spare(spread: Spread, at_s: float, zone: str) -> Iterator[Host]:
    """Yield the hosts of a failure domain whose services have others."""
    there = spread.there(at_s)
    others = {host.service for host in there if host.zone != zone}
    for host in there:
        if host.zone == zone and host.service in others:
            yield host


def _notice(
    spread: Spread, host: Host, at_s: float, after_s: float
) -> Disruption:
    spread.leave(host, at_s + after_s + _NODE_ENDS_S)
    left = Disruption(at_s=at_s, kind='leave', host=host.name, how=NOTICE)
    return msgspec.structs.replace(left, for_s=after_s)


_WAYS = (('spot', _spot), ('reclaim', _reclaim))
SCALE_IN_WORDS = MappingProxyType(
    {
        'scale_in': Word(
            maker=_scale_in,
            hows=frozenset(('stay', 'spot', 'reclaim', 'dry')),
        )
    }
)
