"""Queue of calls that wait for a slot of one start of a target."""

import asyncio
import itertools

from fescueknot.admission.gate import AdmissionGate
from fescueknot.admission.levels import LevelController, LevelSettings
from fescueknot.admission.messages import (
    AdmissionLevel,
    AdmissionRequest,
    Admit,
    Completion,
    CompletionKind,
    FinalDecision,
    RefusalReason,
    Refuse,
)
from fescueknot.admission.rate_limit import RateLimit
from fescueknot.relay.messages import Call
from fescueknot.relay.slot_limit import SlotLimit
from fescueknot.running_loop import running_loop

_MS_PER_S = 1000
_EXPIRY_CHECK_INTERVAL_S = 0.01
# A run makes several calls one after another and may wait at each, so the
# allowed queue is shorter than the service time of one call.
SLOT_LEVELS = LevelSettings(
    window_s=0.2,
    small_step=0.4,
    needs_queue=True,
    starts_at_demand=True,
    correction_step=0.01,
    allowed_queue_s=0.03,
)
_UNUSED_SLOT = Completion(kind=CompletionKind.CANCELLED, service_time_s=0)


class SlotQueue:
    """Admission to one start of a target, for an event loop."""

    def __init__(self, *, slots: int, rate: RateLimit | None = None) -> None:
        self._gate = AdmissionGate(
            limit=SlotLimit(slots=slots),
            levels=LevelController(settings=SLOT_LEVELS),
            rate=rate,
            work_conserving=True,
        )
        self._waiting: dict[str, asyncio.Future[FinalDecision]] = {}
        self._tickets = itertools.count()
        self._expiry_timer: asyncio.TimerHandle | None = None

    async def admit(self, call: Call) -> FinalDecision:
        """Wait for a slot or a refusal.

        After an admission the caller must call :meth:`finish`.
        """
        loop = running_loop()
        ticket = str(next(self._tickets))
        decision = self._gate.offer(
            _admission_request(call, ticket), loop.time()
        )
        if isinstance(decision, Admit | Refuse):
            return decision
        waiter = loop.create_future()
        self._waiting[ticket] = waiter
        self._schedule_expiry_check()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._cancel(ticket, waiter)
            raise
        finally:
            self._waiting.pop(ticket, None)

    def finish(self, ticket: str, completion: Completion) -> None:
        """Free the slot of an admitted call."""
        now_s = running_loop().time()
        self._settle(self._gate.finish(ticket, completion, now_s))

    def close(self) -> None:
        """Refuse all waiting calls; a later start has a queue of its own."""
        waiting = self._waiting
        self._waiting = {}
        for ticket, waiter in waiting.items():
            if not waiter.done():
                waiter.set_result(_target_replaced(ticket))

    def pressure(self) -> AdmissionLevel:
        """Return admission level, slots in use and number of waiting calls."""
        return self._gate.pressure()

    def typical_s(self) -> float:
        """Return the mean recent service time, 0 while unknown."""
        return self._gate.typical_s()

    def usable_slots(self) -> int:
        """Return the slots in use at full load, whatever the rate limit."""
        return self._gate.usable_slots()

    def slot_time_s(self) -> float:
        """Return how long a call keeps a slot of ``pressure``."""
        return self._gate.slot_time_s()

    def _cancel(
        self, ticket: str, waiter: asyncio.Future[FinalDecision]
    ) -> None:
        """Remove a cancelled call from the queue, or free its slot."""
        now_s = running_loop().time()
        was_settled = waiter.done() and not waiter.cancelled()
        if was_settled and isinstance(waiter.result(), Admit):
            self._settle(self._gate.finish(ticket, _UNUSED_SLOT, now_s))
        else:
            self._settle(self._gate.cancel(ticket, now_s))

    def _settle(self, decisions: tuple[FinalDecision, ...]) -> None:
        for decision in decisions:
            waiter = self._waiting.pop(decision.ticket, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, Admit):
                # The call was cancelled meanwhile; free its slot.
                now_s = running_loop().time()
                self._settle(
                    self._gate.finish(decision.ticket, _UNUSED_SLOT, now_s)
                )

    def _schedule_expiry_check(self) -> None:
        if self._expiry_timer is None:
            loop = running_loop()
            self._expiry_timer = loop.call_later(
                _EXPIRY_CHECK_INTERVAL_S, self._expire_waiting
            )

    def _expire_waiting(self) -> None:
        self._expiry_timer = None
        now_s = running_loop().time()
        self._settle(self._gate.expire(now_s))
        if self._waiting:
            self._schedule_expiry_check()


def _admission_request(call: Call, ticket: str) -> AdmissionRequest:
    lineage = call.head.lineage
    return AdmissionRequest(
        ticket=ticket,
        root_id=lineage.root,
        caller=call.head.caller_service,
        importance=lineage.importance,
        deadline_s=call.expires_s,
        depth=lineage.depth,
        max_wait_s=call.head.max_wait_ms / _MS_PER_S,
        is_foreign=call.head.is_foreign,
    )


def _target_replaced(ticket: str) -> Refuse:
    return Refuse(ticket=ticket, reason=RefusalReason.DEADLINE, retry_after_s=0)
