"""Evidence of how recent a node's copy of the store is.

Evidence says: every change made in the store before some moment is held
here. It is passed on by asking. The asker dates the answer from when it sent
the question, so that delays and pauses only make evidence older.
"""

import math

import msgspec

CLOCK_DRIFT_SHARE = 0.001
# What messages say of an age that is not known.
UNKNOWN_AGE_MS = -1
_MS_PER_S = 1000


class StoreEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """All changes made earlier than ``age_s`` ago are held.

    They make up the state of the store at ``revision``. ``age_s`` is infinite
    when nothing is known.
    """

    revision: int
    age_s: float


class FreshnessEvidence:
    """The most recent moment up to which all changes are held."""

    def __init__(self) -> None:
        self._current_at_s = -math.inf

    def age_s(self, now_s: float) -> float:
        """Return how long ago the copy was known to be current."""
        return now_s - self._current_at_s

    def age_ms(self, now_s: float) -> int:
        """Return the age as messages have it, never too young."""
        age_s = self.age_s(now_s)
        if math.isinf(age_s):
            return UNKNOWN_AGE_MS
        return math.ceil(age_s * _MS_PER_S)

    def record_read(self, *, asked_at_s: float) -> None:
        """Note that the store was read by a call sent at ``asked_at_s``."""
        self._current_at_s = max(self._current_at_s, asked_at_s)

    def record_relayed(self, *, asked_at_s: float, age_s: float) -> None:
        """Note a peer's answer to a question sent at ``asked_at_s``.

        Only to be called when everything that the peer holds is held here.
        """
        drifted_s = age_s * (1 + CLOCK_DRIFT_SHARE)
        self.record_read(asked_at_s=asked_at_s - drifted_s)
