"""The admission gate in front of one target."""

from fescueknot.admission.adaptive import AdaptiveLimit
from fescueknot.admission.errors import DuplicateTicketError
from fescueknot.admission.fairness import RequestRanker
from fescueknot.admission.levels import LevelController
from fescueknot.admission.limit import ConcurrencyLimit
from fescueknot.admission.messages import (
    AdmissionLevel,
    AdmissionRequest,
    Admit,
    Completion,
    Decision,
    FinalDecision,
    RefusalReason,
    Refuse,
    Wait,
)
from fescueknot.admission.queue import WaitingQueue
from fescueknot.admission.rank import (
    foreign_rank_of,
    level_of,
    queue_rank_of,
    rank_of_level,
)
from fescueknot.admission.rate_limit import RateLimit
from fescueknot.admission.retry_after import RetryAfterSpread
from fescueknot.admission.slots import TargetSlots


class AdmissionGate:
    """Decides which requests are admitted, wait or are refused.

    The final decision about a waiting request is returned by ``finish``,
    ``cancel`` or ``expire``. Call ``expire`` after each ``Wait`` and about
    every 10 ms while requests wait. A ``work_conserving`` gate admits a
    request that the level would shed if a slot is free and no request waits.
    ``rate`` is the rate limit of the target, if it may have one.
    """

    def __init__(
        self,
        *,
        limit: ConcurrencyLimit | None = None,
        levels: LevelController | None = None,
        line: WaitingQueue | None = None,
        rate: RateLimit | None = None,
        work_conserving: bool = False,
    ) -> None:
        self._slots = TargetSlots(
            limit=limit or AdaptiveLimit(), rate=rate or RateLimit()
        )
        self._levels = levels or LevelController()
        self._queue = WaitingQueue() if line is None else line
        self._work_conserving = work_conserving
        self._ranker = RequestRanker()
        self._retry_after = RetryAfterSpread()

    def offer(self, request: AdmissionRequest, now_s: float) -> Decision:
        """Decide about a new request.

        Raises :class:`DuplicateTicketError` for a ticket still in use.
        """
        if request.ticket in self._slots or request.ticket in self._queue:
            raise DuplicateTicketError(request.ticket)
        self._slots.rate.refill(now_s)
        self._update_level(now_s)
        rank = self._ranker.rank(request)
        if request.is_foreign:
            rank = foreign_rank_of(rank)
        self._levels.count_offer(rank)
        reason = self._refusal_reason(request, rank, now_s)
        if reason is not None:
            return self._refuse(request, reason)
        if self._slots.has_free() and not self._queue:
            return self._admit(request, now_s)
        self._queue.add(request, queue_rank_of(rank, request.depth), now_s)
        return Wait(ticket=request.ticket)

    def finish(
        self, ticket: str, completion: Completion, now_s: float
    ) -> tuple[FinalDecision, ...]:
        """Record the end of an admitted request; decide as ``expire``.

        Raises :class:`UnknownTicketError` for a ticket that isn't running.
        """
        self._slots.finish(ticket, completion, now_s)
        return self.expire(now_s)

    def cancel(self, ticket: str, now_s: float) -> tuple[FinalDecision, ...]:
        """Remove a waiting request whose caller has disconnected.

        An admitted request keeps its slot until ``finish``. Unknown tickets
        are ignored.
        """
        self._queue.discard(ticket)
        return self.expire(now_s)

    def expire(self, now_s: float) -> tuple[FinalDecision, ...]:
        """Refuse or admit waiting requests; return these decisions."""
        self._slots.rate.refill(now_s)
        level_changed = self._update_level(now_s)
        if not self._queue:
            return ()
        decisions = self._refuse_waiting(now_s, level_changed=level_changed)
        while self._queue and self._slots.has_free():
            decisions.append(self._admit(self._queue.pop_first(), now_s))
        return tuple(decisions)

    def heed(self, below: AdmissionLevel) -> None:
        """Shed requests of depth 0 that downstream services would shed."""
        self._levels.set_ceiling(rank_of_level(below))

    def pressure(self) -> AdmissionLevel:
        """Return the level and the load to send with an answer."""
        level = level_of(self._levels.level)
        return AdmissionLevel(
            importance=level.importance,
            bucket=level.bucket,
            limit=self._slots.limit(),
            in_flight=self._slots.occupied(),
            waiting=len(self._queue),
        )

    def typical_s(self) -> float:
        """Return the mean of recent service times, 0 while unknown."""
        return self._slots.concurrency.typical_s()

    def usable_slots(self) -> int:
        """Return the concurrency limit, whatever the rate limit."""
        return self._slots.concurrency.current()

    def slot_time_s(self) -> float:
        """Return how long a request keeps a slot of ``pressure``."""
        return self._slots.slot_time_s()

    def _refusal_reason(
        self, request: AdmissionRequest, rank: float, now_s: float
    ) -> RefusalReason | None:
        shed = request.depth == 0 and rank > self._levels.root_level
        may_use_idle = self._work_conserving and not self._queue
        if shed and not (may_use_idle and self._slots.has_free()):
            return self._reason_of_queue(RefusalReason.LEVEL)
        ahead = self._queue.ahead_of(queue_rank_of(rank, request.depth))
        needed_s = self._slots.concurrency.min_service_s()
        start_interval_s = self._slots.start_interval_s()
        if not self._slots.has_free():
            if ahead >= self._queue.capacity_for(start_interval_s, request):
                return self._reason_of_queue(RefusalReason.QUEUE_FULL)
            if self._slots.rate.wait_s(ahead) > request.max_wait_s:
                return RefusalReason.RATE_LIMIT
            needed_s += (ahead + 1) * start_interval_s
        if now_s + needed_s > request.deadline_s:
            return RefusalReason.DEADLINE
        return None

    def _reason_of_queue(self, reason: RefusalReason) -> RefusalReason:
        """Return ``reason``, or the rate limit if that causes the queue."""
        if self._slots.is_rate_bound():
            return RefusalReason.RATE_LIMIT
        return reason

    def _refuse_waiting(
        self, now_s: float, *, level_changed: bool
    ) -> list[FinalDecision]:
        decisions: list[FinalDecision] = []
        if level_changed:
            for shed in self._queue.pop_shed(self._levels.root_level):
                level = self._reason_of_queue(RefusalReason.LEVEL)
                decisions.append(self._refuse(shed, level))
        start_interval_s = self._slots.start_interval_s()
        for excess in self._queue.pop_excess(start_interval_s):
            full = self._reason_of_queue(RefusalReason.QUEUE_FULL)
            decisions.append(self._refuse(excess, full))
        for expired in self._queue.pop_expired(now_s):
            late = self._reason_of_queue(RefusalReason.MAX_WAIT)
            decisions.append(self._refuse(expired, late))
        return decisions

    def _admit(self, request: AdmissionRequest, now_s: float) -> FinalDecision:
        if now_s + self._slots.concurrency.min_service_s() > request.deadline_s:
            return self._refuse(request, RefusalReason.DEADLINE)
        self._slots.start(request.ticket, now_s)
        return Admit(ticket=request.ticket)

    def _refuse(
        self, request: AdmissionRequest, reason: RefusalReason
    ) -> Refuse:
        return Refuse(
            ticket=request.ticket,
            reason=reason,
            retry_after_s=self._retry_after.count_refusal(request.root_id),
        )

    def _update_level(self, now_s: float) -> bool:
        if not self._levels.observe_queue(len(self._queue), now_s):
            return False
        occupancy = self._slots.occupancy(len(self._queue))
        self._levels.close_window(occupancy, now_s)
        self._ranker.decay()
        self._retry_after.update(occupancy.capacity_per_s, now_s)
        return True
