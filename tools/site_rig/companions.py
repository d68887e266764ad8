"""What comes with a disruption: changes and leavings near its end."""

from collections.abc import Iterator

from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread
from tools.site_rig.target_words import leaving

REVOKE = 'revoke'
# The words of ``how`` that ask for them.
COMPANIONS = frozenset(('meet', 'race', 'drain', REVOKE))
_CHANGES = (('meet', 1), ('race', 2))
# A change is sent to a machine as it returns.
_MEETS_BEFORE_S = 0.1
_LEAVES_AFTER_S = 0.5
# What is taken away is so when those that are cut off don't hear of it.
_REVOKES_AFTER_S = 0.2
_SHARE = 0.1


def companions(
    spread: Spread,
    entry: PlanEntry,
    ends_s: float,
    leaves_s: float | None = None,
) -> Iterator[Disruption]:
    """Make what ``meet``, ``race``, ``drain`` and ``revoke`` add.

    A server leaves soon after the end, or after ``leaves_s``.
    """
    count = sum(many for word, many in _CHANGES if word in entry.hows)
    for _ in range(count):
        yield Disruption(
            at_s=ends_s - _MEETS_BEFORE_S, kind='config_change', how='route'
        )
    if REVOKE in entry.hows:
        at_s = entry.at + _REVOKES_AFTER_S
        yield Disruption(at_s=at_s, kind='config_change', how=REVOKE)
    if 'drain' in entry.hows:
        at_s = ends_s if leaves_s is None else leaves_s
        for host in spread.servers(entry, _SHARE)[:1]:
            yield leaving(spread, host, at_s + _LEAVES_AFTER_S)
