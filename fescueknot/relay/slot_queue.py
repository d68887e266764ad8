"""Calls that wait for a slot of one start of a target."""

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
from fescueknot.relay.messages import Call
from fescueknot.relay.slot_limit import SlotLimit

_MS_PER_S = 1000
_LOOK_S = 0.01
# Runs make several calls in a row, so a line of one call's time is too long.
SLOT_LEVELS = LevelSettings(
    window_s=0.2,
    small_step=0.4,
    needs_queue=True,
    starts_at_demand=True,
    correction_step=0.01,
    allowed_queue_s=0.03,
)
_UNUSED = Completion(kind=CompletionKind.CANCELLED, service_time_s=0)


class SlotQueue:
    """Admission to one start of a target, for callers on an event loop."""

    def __init__(self, *, slots: int) -> None:
        self._gate = AdmissionGate(
            limit=SlotLimit(slots=slots),
            levels=LevelController(settings=SLOT_LEVELS),
            work_conserving=True,
        )
        self._waiting: dict[str, asyncio.Future[FinalDecision]] = {}
        self._tickets = itertools.count()
        self._look: asyncio.TimerHandle | None = None

    async def admit(self, call: Call) -> FinalDecision:
        """Wait for a slot; who is admitted must call :meth:`finish`."""
        loop = asyncio.get_running_loop()
        ticket = str(next(self._tickets))
        decision = self._gate.offer(_asked(call, ticket), loop.time())
        if isinstance(decision, Admit | Refuse):
            return decision
        waiter = loop.create_future()
        self._waiting[ticket] = waiter
        self._watch()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._withdraw(ticket, waiter)
            raise
        finally:
            self._waiting.pop(ticket, None)

    def finish(self, ticket: str, completion: Completion) -> None:
        """Free the slot of an admitted call."""
        now_s = asyncio.get_running_loop().time()
        self._settle(self._gate.finish(ticket, completion, now_s))

    def close(self) -> None:
        """Refuse all that wait: the target is gone."""
        waiting = self._waiting
        self._waiting = {}
        for ticket, waiter in waiting.items():
            if not waiter.done():
                waiter.set_result(_target_gone(ticket))

    def pressure(self) -> AdmissionLevel:
        """Return the level and how full the target is."""
        return self._gate.pressure()

    def typical_s(self) -> float:
        """Return the recent service time, 0 while unknown."""
        return self._gate.typical_s()

    def _withdraw(
        self, ticket: str, waiter: asyncio.Future[FinalDecision]
    ) -> None:
        """Take a cancelled call out of the line, or free its slot."""
        now_s = asyncio.get_running_loop().time()
        settled = waiter.done() and not waiter.cancelled()
        if settled and isinstance(waiter.result(), Admit):
            self._settle(self._gate.finish(ticket, _UNUSED, now_s))
        else:
            self._settle(self._gate.cancel(ticket, now_s))

    def _settle(self, settled: tuple[FinalDecision, ...]) -> None:
        for one in settled:
            waiter = self._waiting.pop(one.ticket, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(one)
            elif isinstance(one, Admit):
                # It doesn't wait any more.
                now_s = asyncio.get_running_loop().time()
                self._settle(self._gate.finish(one.ticket, _UNUSED, now_s))

    def _watch(self) -> None:
        if self._look is None:
            loop = asyncio.get_running_loop()
            self._look = loop.call_later(_LOOK_S, self._look_at_line)

    def _look_at_line(self) -> None:
        self._look = None
        now_s = asyncio.get_running_loop().time()
        self._settle(self._gate.expire(now_s))
        if self._waiting:
            self._watch()


def _asked(call: Call, ticket: str) -> AdmissionRequest:
    lineage = call.head.lineage
    return AdmissionRequest(
        ticket=ticket,
        root_id=lineage.root,
        caller=call.head.caller_service,
        importance=lineage.importance,
        deadline_s=call.expires_s,
        depth=lineage.depth,
        max_wait_s=call.head.patience_ms / _MS_PER_S,
    )


def _target_gone(ticket: str) -> Refuse:
    return Refuse(ticket=ticket, reason=RefusalReason.DEADLINE, retry_after_s=0)
