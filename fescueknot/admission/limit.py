"""Limits on the requests in flight at a target.

The base class states the contract; :mod:`fescueknot.admission.adaptive` learns
the limit from what the target does.
"""

import abc

import msgspec

from fescueknot.admission.messages import CompletionKind


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One completion as seen by a limit.

    ``in_flight`` counts the requests at the target when this one started,
    itself included. ``route`` and ``has_downstream_calls`` are those of the
    completion.
    """

    kind: CompletionKind
    service_time_s: float
    downstream_s: float
    started_s: float
    in_flight: int
    route: str = ''
    has_downstream_calls: bool = False


class ConcurrencyLimit(abc.ABC):
    """How many requests the target may hold at once."""

    @abc.abstractmethod
    def current(self) -> int:
        """Return the limit, at least 1."""

    @abc.abstractmethod
    def min_service_s(self) -> float:
        """Return the service time without queueing, 0 while unknown."""

    @abc.abstractmethod
    def typical_s(self) -> float:
        """Return the recent service time, 0 while unknown."""

    @abc.abstractmethod
    def update(self, sample: Sample, now_s: float) -> None:
        """Take one completion into account."""


class FixedLimit(ConcurrencyLimit):
    """A limit that never changes."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit

    def current(self) -> int:
        """Return the limit."""
        return self._limit

    def min_service_s(self) -> float:
        """Return 0: nothing is learned."""
        return 0

    def typical_s(self) -> float:
        """Return 0: nothing is learned."""
        return 0

    def update(self, sample: Sample, now_s: float) -> None:
        """Ignore the sample."""
