"""Evidence of how recent a node's copy of the store is.

Evidence states that the node has every change that was made in the store
before some time. Nodes request it from each other and pass it on as an age.
The requester counts the age in a reply back from the time at which it sent
the request, so that delays and pauses can only make the evidence look older
than it is.
"""

import math

import msgspec

# Relayed ages are increased by this ratio, since the peer's clock may run slow.
CLOCK_DRIFT_RATIO = 0.001
# Stands in messages for an age that is not known.
UNKNOWN_AGE_MS = -1
_MS_PER_S = 1000


class StoreEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """The node has all changes made earlier than ``age_s`` ago.

    They make up the state of the store at ``revision``. ``age_s`` is infinite
    if there is no evidence yet.
    """

    revision: int
    age_s: float


class FreshnessEvidence:
    """The most recent time up to which the local copy is complete."""

    def __init__(self) -> None:
        self._current_at_s = -math.inf

    def age_s(self, now_s: float) -> float:
        """Return how long ago there was last evidence of a current copy."""
        return now_s - self._current_at_s

    def age_ms(self, now_s: float) -> int:
        """Return the age for messages, rounded up to whole milliseconds."""
        age_s = self.age_s(now_s)
        if math.isinf(age_s):
            return UNKNOWN_AGE_MS
        return math.ceil(age_s * _MS_PER_S)

    def record_read(self, *, asked_at_s: float) -> None:
        """Record that a call sent at ``asked_at_s`` has read the store."""
        self._current_at_s = max(self._current_at_s, asked_at_s)

    def record_relayed(self, *, asked_at_s: float, age_s: float) -> None:
        """Record a peer's reply to a request sent at ``asked_at_s``.

        To be called only when the local copy has all changes that the peer
        has.
        """
        drifted_s = age_s * (1 + CLOCK_DRIFT_RATIO)
        self.record_read(asked_at_s=asked_at_s - drifted_s)
