"""The waiting line of a gate, kept in order of rank."""

import bisect

import msgspec

from fescueknot.admission.messages import AdmissionRequest
from fescueknot.calls import Importance


class LineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a waiting line.

    Shares are parts of the time left until the deadline; ``longest_s`` bounds
    the line by the time that it takes to serve it, ``longest_invested_s`` for
    requests that have passed other hops and the most important class.
    """

    longest_s: float = 0.2
    longest_invested_s: float = 0.8
    longest_unmeasured: int = 30
    shortest: int = 4
    hasty_share: float = 0.25
    patient_share: float = 0.5
    invested_share: float = 0.5
    longest_wait_s: float = 2


class Waiting(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One waiting request; the first two fields give the order."""

    rank: float
    sequence: int
    give_up_s: float
    request: AdmissionRequest


class WaitingLine:
    """Requests by rank; first in, first out among equal ranks."""

    def __init__(self, *, settings: LineSettings | None = None) -> None:
        self._settings = settings or LineSettings()
        self._ordered: list[Waiting] = []
        self._by_ticket: dict[str, Waiting] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._ordered)

    def __contains__(self, ticket: str) -> bool:
        """Tell whether a ticket is waiting."""
        return ticket in self._by_ticket

    def add(self, request: AdmissionRequest, rank: float, now_s: float) -> None:
        """Let a request wait, at most a share of the time it has left."""
        share = self._settings.hasty_share
        if request.accepts_long_wait:
            share = self._settings.patient_share
        if _is_firm(request):
            share = self._settings.invested_share
        wait_s = (request.deadline_s - now_s) * share
        self._sequence += 1
        waiting = Waiting(
            rank=rank,
            sequence=self._sequence,
            give_up_s=now_s
            + min(wait_s, request.max_wait_s, self._settings.longest_wait_s),
            request=request,
        )
        bisect.insort(self._ordered, waiting)
        self._by_ticket[request.ticket] = waiting

    def ahead_of(self, rank: float) -> int:
        """Return how many requests a newcomer of ``rank`` waits for."""
        return bisect.bisect_right(
            self._ordered, rank, key=lambda waiting: waiting.rank
        )

    def longest(
        self, seconds_per_start: float, request: AdmissionRequest
    ) -> int:
        """Return behind how many ``request`` may wait.

        The seconds are 0 while unknown.
        """
        if seconds_per_start == 0:
            return self._settings.longest_unmeasured
        longest_s = self._settings.longest_s
        if _is_firm(request):
            longest_s = self._settings.longest_invested_s
        by_time = int(longest_s / seconds_per_start)
        return max(self._settings.shortest, by_time)

    def pop_first(self) -> AdmissionRequest:
        """Remove and return the request with the strongest claim."""
        first = self._ordered.pop(0)
        self._by_ticket.pop(first.request.ticket)
        return first.request

    def discard(self, ticket: str) -> None:
        """Remove a ticket if it waits."""
        waiting = self._by_ticket.pop(ticket, None)
        if waiting is not None:
            index = bisect.bisect_left(self._ordered, waiting)
            self._ordered.pop(index)

    def pop_below(self, level: float) -> tuple[AdmissionRequest, ...]:
        """Remove and return fresh requests whose rank exceeds ``level``."""
        below = tuple(
            waiting.request
            for waiting in self._ordered[self.ahead_of(level) :]
            if waiting.request.depth == 0
        )
        for request in below:
            self.discard(request.ticket)
        return below

    def pop_excess(
        self, seconds_per_start: float
    ) -> tuple[AdmissionRequest, ...]:
        """Remove and return the weakest claims beyond the bound."""
        if len(self._ordered) <= self._settings.shortest:
            return ()
        excess = tuple(
            waiting.request
            for index, waiting in enumerate(self._ordered)
            if index >= self.longest(seconds_per_start, waiting.request)
        )
        for request in excess:
            self.discard(request.ticket)
        return excess

    def pop_given_up(self, now_s: float) -> tuple[AdmissionRequest, ...]:
        """Remove and return the requests whose time in line is over."""
        given_up = tuple(
            waiting.request
            for waiting in self._ordered
            if waiting.give_up_s <= now_s
        )
        for request in given_up:
            self.discard(request.ticket)
        return given_up


def _is_firm(request: AdmissionRequest) -> bool:
    """Tell whether a request is worth a longer wait.

    It has work invested in it, or is of the most important class, which is
    not shed by level.
    """
    return request.depth > 0 or request.importance is Importance.CRITICAL
