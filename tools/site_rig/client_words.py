"""Words about what clients do."""

import functools
from collections.abc import Iterator
from types import MappingProxyType

from tools.site_rig.client_troubles import ABUSE, BURST, LEAVE, ONCE, SHIFT
from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread, Word

_FOR_S = 5.0


def _press(
    spread: Spread, entry: PlanEntry, *, share: float, ratio: float
) -> Iterator[Disruption]:
    yield Disruption(
        at_s=entry.at,
        kind=entry.kind,
        how=ONCE if ONCE in entry.hows else '',
        share=share if entry.share is None else entry.share,
        ratio=ratio if entry.ratio is None else entry.ratio,
        for_s=entry.for_s or _FOR_S,
        zone=entry.zone,
    )


def _shift(spread: Spread, entry: PlanEntry) -> Iterator[Disruption]:
    """Move clients of a failure domain to another, whichever are left out."""
    zones = sorted({host.zone for host in spread.there(entry.at)})
    origin = entry.zone or spread.rng.choice(zones)
    others = [zone for zone in zones if zone != origin]
    if origin not in zones or not others:
        return
    yield Disruption(
        at_s=entry.at,
        kind=SHIFT,
        share=0.5 if entry.share is None else entry.share,
        for_s=entry.for_s or _FOR_S,
        zone=origin,
        to_zone=entry.to_zone or spread.rng.choice(others),
    )


def _word(share: float, ratio: float, *hows: str) -> Word:
    maker = functools.partial(_press, share=share, ratio=ratio)
    return Word(maker=maker, hows=frozenset(hows))


CLIENT_WORDS: MappingProxyType[str, Word] = MappingProxyType(
    {
        BURST: _word(1, 1.7),
        ABUSE: _word(0.3, 3),
        LEAVE: _word(0.3, 0, ONCE),
        SHIFT: Word(maker=_shift),
    }
)
