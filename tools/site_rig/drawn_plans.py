"""Days drawn from the troubles that a site file lists."""

import random

import msgspec

from tools.site_rig.site import PlanEntry, Site

DRAWN = 'drawn'
_COUNT = 12
_FIRST_S = 1.0
_LAST_S = 26.0
# All machines stop in turn beside whatever is drawn.
_ROLL = PlanEntry(at=_FIRST_S, kind='roll_term', gap_s=2)


def drawn_plan(site: Site, rng: random.Random) -> tuple[PlanEntry, ...]:
    """Return some of a site's troubles, each at a time of its own."""
    count = min(_COUNT, len(site.troubles))
    return _ROLL, *(
        msgspec.structs.replace(drawn, at=rng.uniform(_FIRST_S, _LAST_S))
        for drawn in rng.sample(site.troubles, count)
    )
