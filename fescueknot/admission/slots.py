"""Requests in flight at a target, and the limit that they update."""

import msgspec

from fescueknot.admission.errors import UnknownTicketError
from fescueknot.admission.levels import Occupancy
from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import Completion


class _Running(msgspec.Struct, frozen=True, kw_only=True):
    """A request in flight.

    ``in_flight`` counts the requests at the target when it started, itself
    included.
    """

    started_s: float
    in_flight: int


class TargetSlots:
    """Tickets in flight at the target, bounded by a concurrency limit."""

    def __init__(self, *, limit: ConcurrencyLimit) -> None:
        self._limit = limit
        self._running: dict[str, _Running] = {}

    def __contains__(self, ticket: str) -> bool:
        """Return whether a ticket is in flight."""
        return ticket in self._running

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._running)

    def start(self, ticket: str, now_s: float) -> None:
        """Record a request that is sent to the target."""
        in_flight = len(self._running) + 1
        running = _Running(started_s=now_s, in_flight=in_flight)
        self._running[ticket] = running

    def finish(self, ticket: str, completion: Completion, now_s: float) -> None:
        """Remove a ticket and update the limit with its completion.

        Raises :class:`UnknownTicketError` for a ticket that isn't running.
        """
        running = self._running.pop(ticket, None)
        if running is None:
            raise UnknownTicketError(ticket)
        sample = Sample(
            kind=completion.kind,
            service_time_s=completion.service_time_s,
            downstream_s=completion.downstream_s,
            started_s=running.started_s,
            in_flight=running.in_flight,
            route=completion.route,
            has_downstream_calls=completion.has_downstream_calls,
        )
        self._limit.update(sample, now_s)

    def has_free(self) -> bool:
        """Return whether one more request may be sent to the target."""
        return len(self._running) < self._limit.current()

    def limit(self) -> int:
        """Return the limit on requests in flight."""
        return self._limit.current()

    def min_service_s(self) -> float:
        """Return the service time without queueing, 0 while unknown."""
        return self._limit.min_service_s()

    def typical_s(self) -> float:
        """Return the mean of recent service times, 0 while unknown."""
        return self._limit.typical_s()

    def start_interval_s(self) -> float:
        """Return the mean time between starts at full load, 0 if unknown."""
        return self._limit.typical_s() / self._limit.current()

    def occupancy(self, waiting: int) -> Occupancy:
        """Return the load and the capacity, with ``waiting`` queued."""
        start_interval_s = self.start_interval_s()
        return Occupancy(
            waiting=waiting,
            in_flight=len(self._running),
            limit=self._limit.current(),
            capacity_per_s=1 / start_interval_s if start_interval_s else 0,
        )
