"""The admission gate in front of one target."""

from fescueknot.admission.adaptive import AdaptiveLimit
from fescueknot.admission.errors import DuplicateTicketError
from fescueknot.admission.fairness import Ranking
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
from fescueknot.admission.queue import WaitingLine
from fescueknot.admission.rank import (
    claim_of,
    level_of,
    rank_of_level,
)
from fescueknot.admission.retry_after import ReturnTimes
from fescueknot.admission.slots import TargetSlots


class AdmissionGate:
    """Decides which requests go to the target, wait or are refused.

    Each decision for a request that waited comes back from ``finish``,
    ``cancel`` or ``expire``. Call ``expire`` after each ``Wait`` and about
    every 10 ms. A ``work_conserving`` gate admits what is below its level
    while the target is idle.
    """

    def __init__(
        self,
        *,
        limit: ConcurrencyLimit | None = None,
        levels: LevelController | None = None,
        line: WaitingLine | None = None,
        work_conserving: bool = False,
    ) -> None:
        self._slots = TargetSlots(limit=limit or AdaptiveLimit())
        self._levels = levels or LevelController()
        self._line = WaitingLine() if line is None else line
        self._work_conserving = work_conserving
        self._ranking = Ranking()
        self._returns = ReturnTimes()

    def offer(self, request: AdmissionRequest, now_s: float) -> Decision:
        """Decide about a new request.

        Raises :class:`DuplicateTicketError` for a ticket still in use.
        """
        if request.ticket in self._slots or request.ticket in self._line:
            raise DuplicateTicketError(request.ticket)
        self._observe(now_s)
        rank = self._ranking.rank(request)
        self._levels.note_offer(rank)
        reason = self._objection(request, rank, now_s)
        if reason is not None:
            return self._refuse(request, reason)
        if self._slots.any_free() and not self._line:
            return self._admit(request, now_s)
        self._line.add(request, claim_of(rank, request.depth), now_s)
        return Wait(ticket=request.ticket)

    def finish(
        self, ticket: str, completion: Completion, now_s: float
    ) -> tuple[FinalDecision, ...]:
        """Take the end of an admitted request; decide about waiting ones.

        Raises :class:`UnknownTicketError` for a ticket that isn't running.
        """
        self._slots.finish(ticket, completion, now_s)
        return self.expire(now_s)

    def cancel(self, ticket: str, now_s: float) -> tuple[FinalDecision, ...]:
        """Forget a waiting request whose caller is gone.

        A running one stays until ``finish``. Unknown tickets are ignored.
        """
        self._line.discard(ticket)
        return self.expire(now_s)

    def expire(self, now_s: float) -> tuple[FinalDecision, ...]:
        """Decide about waiting requests after time has passed."""
        changed = self._observe(now_s)
        if not self._line:
            return ()
        settled = self._refuse_some(now_s, level_changed=changed)
        while self._line and self._slots.any_free():
            settled.append(self._admit(self._line.pop_first(), now_s))
        return tuple(settled)

    def heed(self, below: AdmissionLevel) -> None:
        """Shed fresh requests that the services below would shed."""
        self._levels.heed(rank_of_level(below))

    def pressure(self) -> AdmissionLevel:
        """Return the level to send along with an answer to a call."""
        level = level_of(self._levels.level)
        return AdmissionLevel(
            importance=level.importance,
            bucket=level.bucket,
            limit=self._slots.limit(),
            in_flight=len(self._slots),
            waiting=len(self._line),
        )

    def typical_s(self) -> float:
        """Return the recent service time, 0 while unknown."""
        return self._slots.typical_s()

    def _objection(
        self, request: AdmissionRequest, rank: float, now_s: float
    ) -> RefusalReason | None:
        shed = request.depth == 0 and rank > self._levels.fresh_level
        if shed and not self._spares_room():
            return RefusalReason.LEVEL
        ahead = self._line.ahead_of(claim_of(rank, request.depth))
        needed_s = self._slots.min_service_s()
        between_s = self._slots.seconds_per_start()
        if not self._slots.any_free():
            if ahead >= self._line.longest(between_s, request):
                return RefusalReason.QUEUE
            needed_s += (ahead + 1) * between_s
        if now_s + needed_s > request.deadline_s:
            return RefusalReason.DEADLINE
        return None

    def _spares_room(self) -> bool:
        """Tell whether a request below the level takes nobody's place."""
        idle = self._slots.any_free() and not self._line
        return self._work_conserving and idle

    def _refuse_some(
        self, now_s: float, *, level_changed: bool
    ) -> list[FinalDecision]:
        settled: list[FinalDecision] = []
        if level_changed:
            for shed in self._line.pop_below(self._levels.fresh_level):
                settled.append(self._refuse(shed, RefusalReason.LEVEL))
        between_s = self._slots.seconds_per_start()
        for excess in self._line.pop_excess(between_s):
            settled.append(self._refuse(excess, RefusalReason.QUEUE))
        for late in self._line.pop_given_up(now_s):
            settled.append(self._refuse(late, RefusalReason.PATIENCE))
        return settled

    def _admit(self, request: AdmissionRequest, now_s: float) -> FinalDecision:
        if now_s + self._slots.min_service_s() > request.deadline_s:
            return self._refuse(request, RefusalReason.DEADLINE)
        self._slots.start(request.ticket, now_s)
        return Admit(ticket=request.ticket)

    def _refuse(
        self, request: AdmissionRequest, reason: RefusalReason
    ) -> Refuse:
        return Refuse(
            ticket=request.ticket,
            reason=reason,
            retry_after_s=self._returns.refused(request.root_id),
        )

    def _observe(self, now_s: float) -> bool:
        if not self._levels.is_due(len(self._line), now_s):
            return False
        occupancy = self._slots.occupancy(len(self._line))
        self._levels.close_window(occupancy, now_s)
        self._ranking.age()
        self._returns.roll(occupancy.capacity_per_s, now_s)
        return True
