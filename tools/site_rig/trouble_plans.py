"""Spreads the words for troubles of targets and clients over the hosts."""

import math
import random
from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry

_FOR_S = 5
# None is spared.
_ALL = 'all'


class Strength(msgspec.Struct, frozen=True, kw_only=True):
    """What holds where an entry says nothing."""

    share: float = 1
    times: float = 0


_OF_TARGETS = MappingProxyType(
    {
        'answer_lost': Strength(share=0.5, times=0.03),
        'garble': Strength(share=0.5, times=0.02),
        'srv_slow': Strength(share=0.15, times=4),
        'srv_grey': Strength(share=0.15, times=0.5),
        # A word of the rig's own.
        'endless': Strength(share=0.34, times=0.33),
    }
)
_OF_CLIENTS = MappingProxyType(
    {
        'burst': Strength(times=1.7),
        'retry_abuse': Strength(share=0.3, times=3),
        'give_up': Strength(share=0.3),
        'shift': Strength(share=0.5),
    }
)
TROUBLES = frozenset((*_OF_TARGETS, *_OF_CLIENTS))


def spread_trouble(
    entry: PlanEntry, hosts: tuple[Host, ...], rng: random.Random
) -> Iterator[Disruption]:
    """Yield what an entry does to each of the targets, or to the clients."""
    usual = _OF_TARGETS.get(entry.kind)
    if usual is None:
        yield _disruption(entry, '', _OF_CLIENTS[entry.kind])
        return
    near = [host for host in hosts if entry.service in ('', host.service)]
    share = _or(entry.share, usual.share)
    if _ALL in entry.how.split():
        share = 1
    count = math.ceil(share * len(near))
    for host in rng.sample(near, count):
        yield _disruption(entry, host.name, usual)


def _disruption(entry: PlanEntry, host: str, usual: Strength) -> Disruption:
    return Disruption(
        at_s=entry.at,
        kind=entry.kind,
        host=host,
        how=entry.how,
        strength=_or(entry.x, usual.times),
        share=_or(entry.share, usual.share),
        for_s=entry.for_s or _FOR_S,
        zone=entry.zone,
        to_zone=entry.to_zone,
    )


def _or(given: float | None, usual: float) -> float:
    return usual if given is None else given
