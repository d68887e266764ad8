"""Admission of calls to the target on this host."""

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
from fescueknot.admission.rank import rank_of_level
from fescueknot.relay.announced_state import AnnouncedState
from fescueknot.relay.dispatch import Dispatcher
from fescueknot.relay.load_reporter import LoadReporter
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.observer import Observer
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.slot_queue import SlotQueue
from fescueknot.relay.suspect_requests import SuspectRequests
from fescueknot.relay.target_sender import CALLER_LEFT, TargetSender
from fescueknot.running_loop import running_loop
from fescueknot.targets.local_target import Availability, LocalTarget

_MS_PER_S = 1000
_DOWN_RETRY_AFTER_S = 0.5
# A suspect runs alone; most run for a fraction of a second.
_SUSPECTED_RETRY_AFTER_S = 0.3

_REFUSED_FOR_BY_STANDING = types.MappingProxyType(
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


class Gatekeeper:
    """Decides whether and when a call is sent to the target.

    A call that is cancelled while it waits for a slot is never sent.
    ``on_target_leaving`` is called when the first answer says that the target
    leaves.
    """

    def __init__(
        self,
        *,
        target: LocalTarget,
        dispatcher: Dispatcher,
        observer: Observer,
        runs: LocalRuns,
        suspects: SuspectRequests,
        load_reporter: LoadReporter,
        on_target_leaving: Callable[[], None],
    ) -> None:
        self._target = target
        self._observer = observer
        self._runs = runs
        self._load_reporter = load_reporter
        self._suspects = suspects
        self._queue = SlotQueue(slots=1)
        self._queue_key: tuple[str, int, int] | None = None
        self._logged_limit = 0
        self.announced = AnnouncedState(observer=observer)
        self._sender = TargetSender(
            target=target,
            dispatcher=dispatcher,
            runs=runs,
            announced=self.announced,
            suspects=suspects,
            note=self._note,
            on_target_leaving=on_target_leaving,
        )
        self.stopping = False

    async def submit(self, call: Call) -> Reply:
        """Send a call to the target or refuse it; return its result."""
        refusal = self._refusal(call)
        if refusal is not None:
            return self._with_load(refusal, call)
        queue = self._current_queue()
        now_s = running_loop().time()
        self.announced.adopt(call.head.rate_limit_per_s, now_s)
        try:
            decision = await queue.admit(call)
        except asyncio.CancelledError:
            self._note('gate.refused', call, reason=CALLER_LEFT, detail='')
            raise
        if isinstance(decision, Refuse):
            refused = self._refuse(
                call,
                RefusedFor.OVERLOAD,
                decision.retry_after_s,
                detail=str(decision.reason),
            )
            return self._with_load(refused, call)
        sending = self._send(call, queue, decision.ticket)
        if not call.head.idempotent:
            # A call that must not run twice is not interrupted once sent.
            sending = asyncio.shield(running_loop().create_task(sending))
        return self._with_load(await sending, call)

    def load(self) -> AdmissionLevel:
        """Return admission level, slots in use and number of waiting calls."""
        return self._queue.pressure()

    def _refused_for(self, call: Call) -> RefusedFor:
        """Return why a call can't be sent, ``NONE`` if it can."""
        if self.stopping:
            return RefusedFor.STOPPING
        now_s = running_loop().time()
        refused_for = _REFUSED_FOR_BY_STANDING.get(
            self._target.availability(now_s)
        )
        if refused_for is not None:
            return refused_for
        current = self._target.current
        expected = (call.head.instance, call.head.started_ms)
        if expected != (current.instance, current.started_ms):
            return RefusedFor.OTHER_TARGET
        if call.expires_s <= now_s:
            return RefusedFor.EXPIRED
        return RefusedFor.NONE

    def _refusal(self, call: Call) -> Reply | None:
        """Return the refusal of a call that can't be sent, else ``None``."""
        held = self._suspects.held_request(
            call.request, call.head.caller_service
        )
        if held is not None:
            return self._refuse(
                call, RefusedFor.QUARANTINED, held.left_s, held.fingerprint
            )
        refused_for = self._refused_for(call)
        if refused_for is not RefusedFor.NONE:
            return self._refuse(call, refused_for)
        return None

    def _current_queue(self) -> SlotQueue:
        """Return the queue for the current start and slots of the target."""
        current = self._target.current
        key = (current.instance, current.started_ms, current.slots)
        if key != self._queue_key:
            self._queue.close()
            self.announced.begin((current.instance, current.started_ms))
            self._queue = SlotQueue(
                slots=current.slots, rate=self.announced.rate
            )
            self._queue_key = key
        return self._queue

    async def _send(self, call: Call, queue: SlotQueue, ticket: str) -> Reply:
        loop = running_loop()
        began_s = loop.time()
        kind = CompletionKind.CANCELLED
        try:
            reply = await self._dispatch_unless_refused(call)
            kind = _KIND_BY_ENDING[reply.head.ending]
        finally:
            duration_s = loop.time() - began_s
            queue.finish(ticket, self._completion(call, kind, duration_s))
        self._log_limit_change()
        return reply

    def _log_limit_change(self) -> None:
        """Log a change of the number of usable slots."""
        limit = self._queue.usable_slots()
        if limit != self._logged_limit:
            self._logged_limit = limit
            service_ms = int(self._queue.typical_s() * _MS_PER_S)
            self._observer.note(
                'target.limit', limit=limit, service_ms=service_ms
            )

    def _completion(
        self, call: Call, kind: CompletionKind, duration_s: float
    ) -> Completion:
        route = call.head.route
        return Completion(
            kind=kind,
            service_time_s=duration_s,
            route=route,
            has_downstream_calls=bool(self._runs.downstream_routes(route)),
        )

    async def _dispatch_unless_refused(self, call: Call) -> Reply:
        """Check again, as things may have changed meanwhile; then send."""
        refusal = self._refusal(call)
        if refusal is not None:
            return refusal
        if not self._suspects.begin(call):
            return self._refuse(
                call, RefusedFor.SUSPECTED, _SUSPECTED_RETRY_AFTER_S
            )
        return await self._sender.send(call)

    def _with_load(self, reply: Reply, call: Call) -> Reply:
        """Add the state of the target and its admission level to a reply."""
        start = (call.head.instance, call.head.started_ms)
        head = msgspec.structs.replace(
            reply.head,
            is_leaving=self._target.is_leaving(*start),
            rate_limit_per_s=self.announced.limit_of(start),
        )
        return self._load_reporter.add_load(
            Reply(head=head, response=reply.response), call, self._queue
        )

    def _refuse(
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
        pressure = self._queue.pressure()
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
