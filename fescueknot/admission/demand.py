"""Demand by rank, and the level that fits a capacity."""

import itertools

from fescueknot.admission.rank import OPEN_RANK

_BINS_PER_CLASS = 256
_BINS = int(OPEN_RANK) * _BINS_PER_CLASS
_KEPT_SHARE = 0.7
# A bin that has decayed below this is empty.
_COUNTED = 0.05


class Demand:
    """Decayed histogram of the ranks that were offered."""

    def __init__(self) -> None:
        self._bins = list(itertools.repeat(float(0), _BINS))
        self._span_s = float(0)

    def note(self, rank: float) -> None:
        """Count one offered request."""
        self._bins[int(rank * _BINS_PER_CLASS)] += 1

    def age(self, elapsed_s: float) -> None:
        """Let the past count less after a window of ``elapsed_s``."""
        self._bins = [count * _KEPT_SHARE for count in self._bins]
        self._span_s = (self._span_s + elapsed_s) * _KEPT_SHARE

    def rate_per_s(self, elapsed_s: float) -> float:
        """Return the offered requests a second; ``elapsed_s`` as below."""
        return sum(self._bins) / (self._span_s + elapsed_s)

    def highest_rank(self) -> float:
        """Return the end of the highest rank that was offered of late."""
        highest = max(
            (
                index
                for index, count in enumerate(self._bins)
                if count >= _COUNTED
            ),
            default=-1,
        )
        return (highest + 1) / _BINS_PER_CLASS

    def level_for(self, capacity_per_s: float, elapsed_s: float) -> float:
        """Return the rank up to which the demand fits the capacity.

        ``elapsed_s`` is the part of the running window not yet aged.
        """
        budget = capacity_per_s * (self._span_s + elapsed_s)
        sums = itertools.accumulate(self._bins)
        for index, total in enumerate(sums):
            if total > budget:
                inside = (total - budget) / self._bins[index]
                return (index + 1 - inside) / _BINS_PER_CLASS
        return OPEN_RANK
