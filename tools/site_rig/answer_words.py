"""Words about how targets answer."""

import functools
from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from tools.site_rig.endless import ENDLESS
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Maker, Spread, Word

_FOR_S = 5.0
# None is spared.
_ALL = 'all'
_ENDLESS_SHARE = 0.34
_ENDLESS_RATIO = 0.34


def target_disruption(
    entry: PlanEntry, host: Host, usual_ratio: float
) -> Disruption:
    """Return what an entry does to one target."""
    hows = entry.hows - {_ALL}
    return Disruption(
        at_s=entry.at,
        kind=entry.kind,
        host=host.name,
        how=' '.join(sorted(hows)),
        ratio=usual_ratio if entry.ratio is None else entry.ratio,
        for_s=entry.for_s or _FOR_S,
    )


def _maker(share: float, ratio: float) -> Maker:
    return functools.partial(_strike, share=share, ratio=ratio)


def _strike(
    spread: Spread, entry: PlanEntry, *, share: float, ratio: float
) -> Iterator[Disruption]:
    usual = 1 if _ALL in entry.hows else share
    for host in spread.servers(entry, usual):
        yield target_disruption(entry, host, ratio)


def _word(share: float, ratio: float, *hows: str) -> Word:
    heeded = frozenset((_ALL, *hows))
    return Word(maker=_maker(share, ratio), hows=heeded)


def _endless(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Strike some targets of each service; none is spared."""
    names = {host.service for host in spread.there(entry.at)}
    make = _maker(1, _ENDLESS_RATIO)
    for service in sorted(names):
        if entry.service in {'', service}:
            yield from make(spread, _of_service(entry, service))


def _of_service(entry: PlanEntry, service: str) -> PlanEntry:
    return msgspec.structs.replace(
        entry,
        service=service,
        how=f'{entry.how} {_ALL}',
        share=_ENDLESS_SHARE if entry.share is None else entry.share,
    )


ANSWER_WORDS: MappingProxyType[str, Word] = MappingProxyType(
    {
        'answer_lost': _word(0.5, 0.03, 'reset'),
        'garble': _word(0.5, 0.02, 'extra', 'late', 'unframed', 'early'),
        'srv_slow': _word(0.15, 4),
        'srv_grey': _word(0.15, 0.5, 'shed'),
        # Words of the rig's own: answers that pause, and without end.
        'stall': _word(0.5, 0.1),
        'endless': Word(
            maker=_endless,
            hows=frozenset(word for name in ENDLESS for word in name.split()),
        ),
    }
)
