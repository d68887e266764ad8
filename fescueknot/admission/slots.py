"""Requests at the target, and the limit that they teach."""

import msgspec

from fescueknot.admission.errors import UnknownTicketError
from fescueknot.admission.levels import Occupancy
from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import Completion


class _Running(msgspec.Struct, frozen=True, kw_only=True):
    """A request at the target."""

    started_s: float
    in_flight: int


class TargetSlots:
    """Which tickets are at the target, and how many more it takes."""

    def __init__(self, *, limit: ConcurrencyLimit) -> None:
        self._limit = limit
        self._running: dict[str, _Running] = {}

    def __contains__(self, ticket: str) -> bool:
        """Tell whether a ticket is at the target."""
        return ticket in self._running

    def __len__(self) -> int:
        """Return the number of requests at the target."""
        return len(self._running)

    def start(self, ticket: str, now_s: float) -> None:
        """Count a request that goes to the target."""
        in_flight = len(self._running) + 1
        running = _Running(started_s=now_s, in_flight=in_flight)
        self._running[ticket] = running

    def finish(self, ticket: str, completion: Completion, now_s: float) -> None:
        """Learn from a completion.

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

    def any_free(self) -> bool:
        """Tell whether one more request may go to the target."""
        return len(self._running) < self._limit.current()

    def limit(self) -> int:
        """Return the limit on requests in flight."""
        return self._limit.current()

    def min_service_s(self) -> float:
        """Return the service time without queueing, 0 while unknown."""
        return self._limit.min_service_s()

    def typical_s(self) -> float:
        """Return the recent service time, 0 while unknown."""
        return self._limit.typical_s()

    def seconds_per_start(self) -> float:
        """Return the mean time between starts at full load."""
        return self._limit.typical_s() / self._limit.current()

    def occupancy(self, waiting: int) -> Occupancy:
        """Return how full the target is, with ``waiting`` in line."""
        between_s = self.seconds_per_start()
        return Occupancy(
            waiting=waiting,
            in_flight=len(self._running),
            limit=self._limit.current(),
            capacity_per_s=1 / between_s if between_s else 0,
        )
