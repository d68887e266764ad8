"""The queue of waiting requests of a gate, ordered by rank."""

import bisect

import msgspec

from fescueknot.admission.messages import AdmissionRequest
from fescueknot.calls import Importance


class QueueSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a queue.

    A request waits for at most a fraction of the time left until its deadline:
    ``invested_wait_fraction`` for protected requests (depth above 0 or the
    most important class), ``long_wait_fraction`` for callers that accept a
    long wait, otherwise ``default_wait_fraction``. No request waits longer
    than ``max_wait_s``.

    The length is bounded by the time that it takes to serve the queue:
    ``max_queue_s``, or ``max_queue_invested_s`` for protected requests, but at
    least ``min_capacity`` requests. Requests of the most important class that
    hold no slot elsewhere (depth 0) are refused only if the queue takes longer
    than they may wait, as the time to serve it is an estimate from few
    requests. While the service time is unknown, ``unmeasured_capacity``
    requests may wait.
    """

    max_queue_s: float = 0.2
    max_queue_invested_s: float = 0.8
    unmeasured_capacity: int = 30
    min_capacity: int = 4
    default_wait_fraction: float = 0.25
    long_wait_fraction: float = 0.5
    invested_wait_fraction: float = 0.5
    max_wait_s: float = 2


class Waiting(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One waiting request; compared by ``rank``, then ``sequence``."""

    rank: float
    sequence: int
    expires_s: float
    request: AdmissionRequest


class WaitingQueue:
    """Waiting requests by rank; equal ranks are first in, first out."""

    def __init__(self, *, settings: QueueSettings | None = None) -> None:
        self._settings = settings or QueueSettings()
        self._ordered: list[Waiting] = []
        self._by_ticket: dict[str, Waiting] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._ordered)

    def __contains__(self, ticket: str) -> bool:
        """Return whether a ticket is waiting."""
        return ticket in self._by_ticket

    def add(self, request: AdmissionRequest, rank: float, now_s: float) -> None:
        """Add a request with the time at which its wait ends."""
        fraction = self._settings.default_wait_fraction
        if request.accepts_long_wait:
            fraction = self._settings.long_wait_fraction
        if _is_protected(request):
            fraction = self._settings.invested_wait_fraction
        wait_s = (request.deadline_s - now_s) * fraction
        self._sequence += 1
        waiting = Waiting(
            rank=rank,
            sequence=self._sequence,
            expires_s=now_s
            + min(wait_s, request.max_wait_s, self._settings.max_wait_s),
            request=request,
        )
        bisect.insort(self._ordered, waiting)
        self._by_ticket[request.ticket] = waiting

    def ahead_of(self, rank: float) -> int:
        """Return how many requests are served before a new one of ``rank``."""
        return bisect.bisect_right(
            self._ordered, rank, key=lambda waiting: waiting.rank
        )

    def capacity_for(
        self, start_interval_s: float, request: AdmissionRequest
    ) -> int:
        """Return how many requests may be ahead of ``request``.

        ``start_interval_s`` is 0 while unknown.
        """
        if start_interval_s == 0:
            return self._settings.unmeasured_capacity
        by_time = int(self._max_queue_s(request) / start_interval_s)
        return max(self._settings.min_capacity, by_time)

    def pop_first(self) -> AdmissionRequest:
        """Remove and return the request with the lowest rank."""
        first = self._ordered.pop(0)
        self._by_ticket.pop(first.request.ticket)
        return first.request

    def discard(self, ticket: str) -> None:
        """Remove a ticket if it is waiting."""
        waiting = self._by_ticket.pop(ticket, None)
        if waiting is not None:
            index = bisect.bisect_left(self._ordered, waiting)
            self._ordered.pop(index)

    def pop_shed(self, level: float) -> tuple[AdmissionRequest, ...]:
        """Remove and return requests of depth 0 with a rank above ``level``."""
        shed = tuple(
            waiting.request
            for waiting in self._ordered[self.ahead_of(level) :]
            if waiting.request.depth == 0
        )
        for request in shed:
            self.discard(request.ticket)
        return shed

    def pop_excess(
        self, start_interval_s: float
    ) -> tuple[AdmissionRequest, ...]:
        """Remove and return the requests beyond the queue capacity."""
        if len(self._ordered) <= self._settings.min_capacity:
            return ()
        excess = tuple(
            waiting.request
            for index, waiting in enumerate(self._ordered)
            if index >= self.capacity_for(start_interval_s, waiting.request)
        )
        for request in excess:
            self.discard(request.ticket)
        return excess

    def pop_expired(self, now_s: float) -> tuple[AdmissionRequest, ...]:
        """Remove and return the requests that have waited too long."""
        expired = tuple(
            waiting.request
            for waiting in self._ordered
            if waiting.expires_s <= now_s
        )
        for request in expired:
            self.discard(request.ticket)
        return expired

    def _max_queue_s(self, request: AdmissionRequest) -> float:
        if not _is_protected(request):
            return self._settings.max_queue_s
        if request.depth > 0:
            return self._settings.max_queue_invested_s
        longest_wait_s = min(request.max_wait_s, self._settings.max_wait_s)
        return max(self._settings.max_queue_invested_s, longest_wait_s)


def _is_protected(request: AdmissionRequest) -> bool:
    """Return whether a request may wait longer.

    Work of earlier hops is invested in it, or it is of the most important
    class, which is never shed by level.
    """
    return request.depth > 0 or request.importance is Importance.CRITICAL
