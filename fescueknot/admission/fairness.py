"""Fairness among callers.

A caller that offers more requests than the median caller gets a weight above
1. The weight raises the rank of its requests inside their importance class,
so that a flooding caller loses its own requests first. Weights are applied
only at the first hop (depth 0); deeper hops rank requests by their root alone.
"""

import statistics

from fescueknot.admission.messages import AdmissionRequest
from fescueknot.admission.rank import rank_of, root_position

_MAX_CALLERS = 256
_DECAY_FACTOR = 0.7
_MIN_COUNT = 0.05
_SMOOTHING_COUNT = 8


class CallerDemand:
    """Decayed counts of offered requests for at most 256 callers."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._median_count = float(0)

    def count(self, caller: str) -> None:
        """Count one offered request."""
        count = self._counts.get(caller)
        if count is not None:
            self._counts[caller] = count + 1
        elif len(self._counts) < _MAX_CALLERS:
            self._counts[caller] = 1

    def weight(self, caller: str) -> float:
        """Return the demand of a caller relative to the median, at least 1."""
        if self._median_count == 0:
            return 1
        count = self._counts.get(caller, 0) + _SMOOTHING_COUNT
        return max(1, count / (self._median_count + _SMOOTHING_COUNT))

    def decay(self) -> None:
        """Decay all counts and update the median."""
        decayed = {}
        for caller, count in self._counts.items():
            if count * _DECAY_FACTOR > _MIN_COUNT:
                decayed[caller] = count * _DECAY_FACTOR
        self._counts = decayed
        counts = decayed.values()
        self._median_count = statistics.median_low(counts) if counts else 0


class RequestRanker:
    """Ranks the requests at one gate; weights them at the first hop."""

    def __init__(self) -> None:
        self._callers = CallerDemand()

    def rank(self, request: AdmissionRequest) -> float:
        """Return the rank of a request; count its caller at depth 0."""
        weight = float(1)
        if request.depth == 0:
            self._callers.count(request.caller)
            weight = self._callers.weight(request.caller)
        position = root_position(request.root_id)
        return rank_of(request.importance, position, weight)

    def decay(self) -> None:
        """Decay the counts of all callers."""
        self._callers.decay()
