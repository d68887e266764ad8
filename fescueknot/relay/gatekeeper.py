"""The last gate before a target: the node on the target's own host."""

import asyncio
import types
from collections.abc import Callable

import msgspec

from fescueknot.admission.messages import (
    AdmissionLevel,
    Completion,
    CompletionKind,
    Refuse,
)
from fescueknot.admission.rank import OPEN_RANK, rank_of_level
from fescueknot.relay.dispatch import Dispatcher
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.observer import Observer
from fescueknot.relay.runs import LocalRuns, Run
from fescueknot.relay.slot_queue import SlotQueue
from fescueknot.targets.local_target import Availability, LocalTarget

_MS_PER_S = 1000
_DOWN_RETRY_AFTER_S = 0.5

_REFUSAL_BY_AVAILABILITY = types.MappingProxyType(
    {
        Availability.UNKNOWN: RefusedFor.NO_TARGET,
        Availability.LEFT: RefusedFor.LEAVING,
    }
)
_KIND_BY_ENDING = types.MappingProxyType(
    {
        Ending.ANSWERED: CompletionKind.OK,
        Ending.TURNED_AWAY: CompletionKind.REFUSED,
        Ending.REFUSED: CompletionKind.REFUSED,
        Ending.UNKNOWN: CompletionKind.FAILED,
    }
)
_LEFT = 'the caller left'
_CUT_OFF = Reply(head=AnswerHead(ending=Ending.UNKNOWN, detail=_LEFT))


class Gatekeeper:
    """Decides which calls go to the target, and when.

    A call that is cancelled while it waits is never sent.
    """

    def __init__(
        self,
        *,
        target: LocalTarget,
        dispatcher: Dispatcher,
        observer: Observer,
        version: Callable[[], int],
        runs: LocalRuns,
        levels: LevelsByRoute,
    ) -> None:
        self._target = target
        self._dispatcher = dispatcher
        self._observer = observer
        self._version = version
        self._runs = runs
        self._levels = levels
        self._line = SlotQueue(slots=1)
        self._line_of: tuple[str, int, int] | None = None
        self._limit_told = 0
        self.stopping = False

    async def run(self, call: Call) -> Reply:
        """Return what became of a call."""
        objection = self._objection(call)
        if objection is not RefusedFor.NONE:
            return self._told(self._refused(call, objection), call)
        line = self._current_line()
        try:
            settled = await line.admit(call)
        except asyncio.CancelledError:
            self._note('gate.refused', call, reason=_LEFT, detail='')
            raise
        if isinstance(settled, Refuse):
            refused = self._refused(
                call,
                RefusedFor.OVERLOAD,
                settled.retry_after_s,
                detail=str(settled.reason),
            )
            return self._told(refused, call)
        sending = asyncio.ensure_future(self._send(call, line, settled.ticket))
        try:
            reply = await asyncio.shield(sending)
        except asyncio.CancelledError:
            # Work that must not run twice is not cut off half-way.
            if call.head.idempotent:
                sending.cancel()
            raise
        return self._told(reply, call)

    def load(self) -> AdmissionLevel:
        """Return how full the target is."""
        return self._line.pressure()

    def _objection(self, call: Call) -> RefusedFor:
        if self.stopping:
            return RefusedFor.STOPPING
        now_s = asyncio.get_running_loop().time()
        refusal = _REFUSAL_BY_AVAILABILITY.get(self._target.availability(now_s))
        if refusal is not None:
            return refusal
        current = self._target.current
        expected = (call.head.instance, call.head.started_ms)
        if expected != (current.instance, current.started_ms):
            return RefusedFor.OTHER_TARGET
        if call.expires_s <= now_s:
            return RefusedFor.EXPIRED
        return RefusedFor.NONE

    def _current_line(self) -> SlotQueue:
        """Return the line of this start of the target."""
        current = self._target.current
        key = (current.instance, current.started_ms, current.slots)
        if key != self._line_of:
            self._line.close()
            self._line = SlotQueue(slots=current.slots)
            self._line_of = key
        return self._line

    async def _send(self, call: Call, line: SlotQueue, ticket: str) -> Reply:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        kind = CompletionKind.CANCELLED
        try:
            reply = await self._dispatch_unless_refused(call)
            kind = _KIND_BY_ENDING[reply.head.ending]
        finally:
            took_s = loop.time() - began_s
            line.finish(ticket, self._completion(call, kind, took_s))
        self._tell_limit()
        return reply

    def _tell_limit(self) -> None:
        """Note that more or fewer slots are used than before."""
        limit = self._line.pressure().limit
        if limit != self._limit_told:
            self._limit_told = limit
            service_ms = int(self._line.typical_s() * _MS_PER_S)
            self._observer.note(
                'target.limit', limit=limit, service_ms=service_ms
            )

    def _completion(
        self, call: Call, kind: CompletionKind, took_s: float
    ) -> Completion:
        route = call.head.route
        return Completion(
            kind=kind,
            service_time_s=took_s,
            route=route,
            has_downstream_calls=bool(self._runs.below(route)),
        )

    async def _dispatch_unless_refused(self, call: Call) -> Reply:
        """Send a call; the target may have left while it waited."""
        objection = self._objection(call)
        if objection is not RefusedFor.NONE:
            return self._refused(call, objection)
        return await self._dispatch(call)

    async def _dispatch(self, call: Call) -> Reply:
        run = Run(
            attempt=call.head.attempt,
            route=call.head.route,
            lineage=call.head.lineage,
            expires_s=call.expires_s,
        )
        number = self._runs.begin(run)
        began_s = asyncio.get_running_loop().time()
        try:
            reply = await self._dispatcher.send(call)
        except asyncio.CancelledError:
            self._note_sent(call, _CUT_OFF, began_s)
            raise
        finally:
            failed_below = self._runs.end(number)
        self._note_sent(call, reply, began_s)
        if reply.head.refused_for is RefusedFor.OTHER_TARGET:
            self._target.remove_mismatched(call.head.instance)
        head = msgspec.structs.replace(reply.head, failed_below=failed_below)
        return Reply(head=head, response=reply.response)

    def _note_sent(self, call: Call, reply: Reply, began_s: float) -> None:
        took_s = asyncio.get_running_loop().time() - began_s
        self._note(
            'gate.sent',
            call,
            ms=int(took_s * _MS_PER_S),
            ending=str(reply.head.ending),
            status=reply.response.status if reply.response else 0,
            detail=reply.head.detail,
        )

    def _told(self, reply: Reply, call: Call) -> Reply:
        """Add the load, and the level of the call's route, to a reply."""
        now_s = asyncio.get_running_loop().time()
        pressure = self._line.pressure()
        below = self._levels.lowest(self._runs.below(call.head.route), now_s)
        # Callers ask this gate itself before they give up on a root request.
        own = rank_of_level(pressure) if call.head.lineage.depth else OPEN_RANK
        head = msgspec.structs.replace(
            reply.head,
            limit=pressure.limit,
            in_flight=pressure.in_flight,
            waiting=pressure.waiting,
            service_ms=int(self._line.typical_s() * _MS_PER_S),
            level_rank=min(own, below),
            version=self._version(),
        )
        return Reply(head=head, response=reply.response)

    def _refused(
        self,
        call: Call,
        refused_for: RefusedFor,
        retry_after_s: float = _DOWN_RETRY_AFTER_S,
        detail: str = '',
    ) -> Reply:
        self._note('gate.refused', call, reason=str(refused_for), detail=detail)
        return Reply(
            head=AnswerHead(
                ending=Ending.REFUSED,
                refused_for=refused_for,
                retry_after_s=retry_after_s,
                detail=detail,
            )
        )

    def _note(self, event: str, call: Call, **details: object) -> None:
        pressure = self._line.pressure()
        self._observer.note(
            event,
            id=call.head.attempt,
            instance=call.head.instance,
            depth=call.head.lineage.depth,
            importance=call.head.lineage.importance,
            limit=pressure.limit,
            in_flight=pressure.in_flight,
            waiting=pressure.waiting,
            level=round(rank_of_level(pressure), 2),
            **details,
        )
