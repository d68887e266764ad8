"""Requests in flight at a target, and the limits on them."""

import msgspec

from fescueknot.admission.errors import UnknownTicketError
from fescueknot.admission.levels import Occupancy
from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import Completion
from fescueknot.admission.rate_limit import RateLimit


class _Running(msgspec.Struct, frozen=True, kw_only=True):
    """A request in flight.

    ``in_flight`` counts the requests at the target when it started, itself
    included.
    """

    started_s: float
    in_flight: int


class TargetSlots:
    """Tickets in flight at the target.

    They are bounded by a concurrency limit and, at a target that has one, by a
    rate limit. Under a rate limit the target is described by the slots that
    the rate keeps busy (Little's law). ``concurrency`` and ``rate`` are the two
    limits.
    """

    def __init__(self, *, limit: ConcurrencyLimit, rate: RateLimit) -> None:
        self.concurrency = limit
        self.rate = rate
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
        self.rate.take()

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
        self.concurrency.update(sample, now_s)

    def has_free(self) -> bool:
        """Return whether one more request may be sent to the target."""
        return self._has_idle_slot() and self.rate.has_token()

    def is_rate_bound(self) -> bool:
        """Return whether only the rate limit keeps a request back."""
        return self._has_idle_slot() and not self.rate.has_token()

    def limit(self) -> int:
        """Return the number of slots that the target can keep busy."""
        slots = self.concurrency.current()
        if not self.rate.is_limited:
            return slots
        busy_slots = round(self.rate.rate_per_s * self.concurrency.typical_s())
        return max(1, min(slots, busy_slots))

    def occupied(self) -> int:
        """Return how many of the slots in ``limit`` are busy."""
        if not self.rate.is_limited:
            return len(self._running)
        return self.limit() - int(self.has_free())

    def start_interval_s(self) -> float:
        """Return the mean time between starts at full load, 0 if unknown."""
        slot_interval_s = (
            self.concurrency.typical_s() / self.concurrency.current()
        )
        return max(slot_interval_s, self.rate.interval_s)

    def slot_time_s(self) -> float:
        """Return how long a request keeps one of the slots in ``limit``."""
        return self.start_interval_s() * self.limit()

    def occupancy(self, waiting: int) -> Occupancy:
        """Return the load and the capacity, with ``waiting`` queued."""
        start_interval_s = self.start_interval_s()
        return Occupancy(
            waiting=waiting,
            in_flight=len(self._running),
            limit=self.limit(),
            capacity_per_s=1 / start_interval_s if start_interval_s else 0,
        )

    def _has_idle_slot(self) -> bool:
        return len(self._running) < self.concurrency.current()
