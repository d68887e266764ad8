"""Demand by rank, and the admission level that fits a capacity."""

import itertools

from fescueknot.admission.rank import OPEN_RANK

_BINS_PER_CLASS = 256
_BINS = int(OPEN_RANK) * _BINS_PER_CLASS
_DECAY_FACTOR = 0.7
# A bin that has decayed below this count is taken as empty.
_MIN_BIN_COUNT = 0.05


class Demand:
    """Histogram of the ranks of offered requests, with exponential decay."""

    def __init__(self) -> None:
        self._bins = list(itertools.repeat(float(0), _BINS))
        self._span_s = float(0)

    def count(self, rank: float) -> None:
        """Count one offered request."""
        self._bins[int(rank * _BINS_PER_CLASS)] += 1

    def decay(self, elapsed_s: float) -> None:
        """Decay all counts at the end of a window of ``elapsed_s``."""
        self._bins = [count * _DECAY_FACTOR for count in self._bins]
        self._span_s = (self._span_s + elapsed_s) * _DECAY_FACTOR

    def rate_per_s(self, elapsed_s: float) -> float:
        """Return the offered requests per second.

        ``elapsed_s`` is the time since the last call of ``decay``.
        """
        return sum(self._bins) / (self._span_s + elapsed_s)

    def highest_rank(self) -> float:
        """Return the upper end of the highest bin that is not empty."""
        highest = max(
            (
                index
                for index, count in enumerate(self._bins)
                if count >= _MIN_BIN_COUNT
            ),
            default=-1,
        )
        return (highest + 1) / _BINS_PER_CLASS

    def level_for(self, capacity_per_s: float, elapsed_s: float) -> float:
        """Return the highest rank up to which the demand fits the capacity.

        ``elapsed_s`` is the time since the last call of ``decay``.
        """
        budget = capacity_per_s * (self._span_s + elapsed_s)
        sums = itertools.accumulate(self._bins)
        for index, total in enumerate(sums):
            if total > budget:
                inside = (total - budget) / self._bins[index]
                return (index + 1 - inside) / _BINS_PER_CLASS
        return OPEN_RANK
