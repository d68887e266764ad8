"""Limits on the requests in flight at a target.

:mod:`fescueknot.admission.adaptive` implements a limit that adapts to refusals
and service times.
"""

import abc

import msgspec

from fescueknot.admission.messages import CompletionKind


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One completed request, as input for a limit.

    ``in_flight`` counts the requests at the target when the request started,
    itself included. ``downstream_s``, ``route`` and ``has_downstream_calls``
    are those of the :class:`Completion`.
    """

    kind: CompletionKind
    service_time_s: float
    downstream_s: float
    started_s: float
    in_flight: int
    route: str = ''
    has_downstream_calls: bool = False


class ConcurrencyLimit(abc.ABC):
    """Maximum number of requests in flight at a target."""

    @abc.abstractmethod
    def current(self) -> int:
        """Return the limit, at least 1."""

    @abc.abstractmethod
    def min_service_s(self) -> float:
        """Return the service time without queueing, 0 while unknown."""

    @abc.abstractmethod
    def typical_s(self) -> float:
        """Return the mean of recent service times, 0 while unknown."""

    @abc.abstractmethod
    def update(self, sample: Sample, now_s: float) -> None:
        """Update the limit with one completed request."""


class FixedLimit(ConcurrencyLimit):
    """A constant limit."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit

    def current(self) -> int:
        """Return the limit."""
        return self._limit

    def min_service_s(self) -> float:
        """Return 0: service times are not measured."""
        return 0

    def typical_s(self) -> float:
        """Return 0: service times are not measured."""
        return 0

    def update(self, sample: Sample, now_s: float) -> None:
        """Ignore the sample."""
