"""How old a node's knowledge of the routes may get, and what follows.

A node knows by evidence that it has every change made before some time. If
the evidence is never older than ``max_age_s``, a change is in force on the
node within ``max_age_s`` and the time of one read of the store, whatever
happens to other nodes: a node whose evidence is older reads the store itself.
"""

import msgspec

from fescueknot.gossip.evidence import UNKNOWN_AGE_MS

_MS_PER_S = 1000
# Parts of the bound for a change. The readers' watches are the shortest, so
# that a node that asks a reader in time gets evidence that lasts.
_MAX_AGE_RATIO = 0.7
_RENEW_AGE_RATIO = 0.5
_WATCH_RATIO = 0.36
_CHECK_RATIO = 0.08


class FreshnessBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Ages and intervals, as parts of the bound ``in_force_s``.

    ``in_force_s`` is the time within which a change is to be in force on every
    node after the store has acknowledged it.
    """

    in_force_s: float

    @property
    def max_age_s(self) -> float:
        """Return the age of evidence at which a node reads the store."""
        return self.in_force_s * _MAX_AGE_RATIO

    def is_fresh_ms(self, age_ms: int) -> bool:
        """Return whether the age in a message is that of fresh evidence."""
        return UNKNOWN_AGE_MS < age_ms <= self.max_age_s * _MS_PER_S

    @property
    def renew_age_s(self) -> float:
        """Return the age of evidence at which a node asks its peers."""
        return self.in_force_s * _RENEW_AGE_RATIO

    @property
    def watch_s(self) -> float:
        """Return how long a reader's watch of the routes waits."""
        return self.in_force_s * _WATCH_RATIO

    @property
    def check_interval_s(self) -> float:
        """Return the time between two looks at the age of the evidence."""
        return self.in_force_s * _CHECK_RATIO
