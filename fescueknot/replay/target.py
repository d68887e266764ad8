"""Work at one host: admission, the target as the trace has it, the answer."""

import itertools
from collections.abc import Callable
from typing import Any

import msgspec

from fescueknot.admission.messages import (
    AdmissionRequest,
    Completion,
    CompletionKind,
    RefusalReason,
    Refuse,
    Wait,
)
from fescueknot.calls import Outcome
from fescueknot.node.verdicts import VerdictKind
from fescueknot.replay.engine import Pause, Process
from fescueknot.replay.events import Ending, Work
from fescueknot.replay.fleet import Cut, Fleet
from fescueknot.replay.host import Host
from fescueknot.replay.state import CallEnd, Run, Sending
from fescueknot.retries.allotment import AllotmentShare

_MS_PER_S = 1000
_HAND_OVER_S = 0.0005
_UNTIL_LOSS_SEEN_S = 0.05

CallBelow = Callable[['Task', Work, int], Process]


class Task(msgspec.Struct, frozen=True, kw_only=True):
    """One call at the node beside its target.

    ``depth`` counts the hops. A keyed call must not start after
    ``start_by_s``; ``admit_run`` is then asked last.
    """

    host: Host
    sending: Sending
    work: Work
    depth: int
    lent: int
    received_s: float
    ending: Ending | None = None
    start_by_s: float = float('inf')
    admit_run: Callable[[float], bool] | None = None


class TargetSide:
    """Serves calls at their hosts."""

    def __init__(self, *, fleet: Fleet, below: CallBelow) -> None:
        self._fleet = fleet
        self._engine = fleet.engine
        self._below = below
        self._tickets = itertools.count()

    def serve(self, task: Task) -> Process:
        """Return the end of a call, as its host tells it."""
        host = task.host
        if host.condition.gone:
            yield Pause(wait_s=_HAND_OVER_S)
            return _end(VerdictKind.UNREACHABLE, Outcome.NOT_RUN, 'no host')
        yield from host.awake()
        if host.condition.door_closed:
            return _end(VerdictKind.REFUSED, Outcome.NOT_RUN, 'leaving')
        host.condition.in_progress += 1
        end = yield from self.admitted(task)
        host.condition.in_progress -= 1
        return end

    def admitted(self, task: Task) -> Process:
        """Return the end of a call that the node has taken."""
        ticket = f't{next(self._tickets)}'
        task.host.levels.refresh(self._engine.now_s)
        decision = task.host.gate.offer(
            _admission(task, ticket), self._engine.now_s
        )
        if isinstance(decision, Wait):
            decision = yield task.host.wait_in_line(ticket)
        if isinstance(decision, Refuse):
            return self._refused(task, decision)
        yield Pause(wait_s=_HAND_OVER_S)
        yield from task.host.awake()
        end, completion = yield from self._dispatch(task)
        if not task.host.condition.gone:
            task.host.finish(ticket, completion)
        return self._told(task, end)

    def _dispatch(self, task: Task) -> Process:
        began_s = self._engine.now_s
        if task.host.condition.gone:
            self._note_cut(task)
            end = _end(VerdictKind.BROKEN, Outcome.UNKNOWN, 'host lost')
            return end, _completion(CompletionKind.FAILED, 0)
        if not _may_start(task, began_s):
            end = _end(VerdictKind.REFUSED, Outcome.NOT_RUN, 'too late')
            return end, _completion(CompletionKind.CANCELLED, 0)
        end, kind, below_s = yield from self._run(task)
        spent_s = self._engine.now_s - began_s
        return end, _completion(kind, spent_s, below_s)

    def _run(self, task: Task) -> Process:
        ending = task.ending or task.sending.state.next_ending(task.work)
        if task.host.slots.full or ending is Ending.REFUSES:
            end = _end(VerdictKind.ANSWERED, Outcome.NOT_RUN, 'target shed it')
            return end, CompletionKind.REFUSED, 0
        held = yield from task.host.slots.take(task.sending.deadline_s)
        if not held:
            end = _end(VerdictKind.ANSWERED, Outcome.NOT_RUN, 'expired')
            return end, CompletionKind.TIMEOUT, 0
        worked = yield from self._work(task, ending)
        task.host.slots.give_back()
        return worked

    def _work(self, task: Task, ending: Ending) -> Process:
        self._note_run(task)
        yield Pause(wait_s=task.work.service_ms / _MS_PER_S)
        began_below_s = self._engine.now_s
        good, unspent = yield from self._call_below(task)
        below_s = self._engine.now_s - began_below_s
        if task.host.condition.gone:
            self._note_cut(task)
            yield Pause(wait_s=_UNTIL_LOSS_SEEN_S)
            ending = Ending.DROPS
        if ending is Ending.DROPS:
            end = _end(VerdictKind.BROKEN, Outcome.UNKNOWN, 'answer lost')
            return end, CompletionKind.FAILED, below_s
        end = CallEnd(
            kind=VerdictKind.ANSWERED,
            outcome=Outcome.RUN,
            text='' if good else 'a call below failed',
            answer=task.sending.arrival.wanted if good else '',
            unspent=unspent,
        )
        return end, CompletionKind.OK, below_s

    def _call_below(self, task: Task) -> Process:
        allotment = self._fleet.mechanisms.allotment(task.lent)
        for work in task.work.below:
            share = allotment.lend()
            task.host.levels.record_callee(work.service)
            end = yield from self._below(task, work, share.attempts)
            allotment.give_back(AllotmentShare(attempts=end.unspent))
            if not end.answer:
                return False, allotment.held
        return True, allotment.held

    def _refused(self, task: Task, refusal: Refuse) -> CallEnd:
        kind = VerdictKind.REFUSED
        if refusal.reason is RefusalReason.LEVEL:
            kind = VerdictKind.SHED
        end = _end(kind, refusal.outcome, refusal.reason.value)
        return self._told(
            task,
            msgspec.structs.replace(
                end,
                unspent=task.lent,
                retry_after_s=refusal.retry_after_s,
            ),
        )

    def _told(self, task: Task, end: CallEnd) -> CallEnd:
        own = task.host.gate.pressure()
        level = task.host.levels.lowered(own, self._engine.now_s)
        return msgspec.structs.replace(end, level=level)

    def _note_run(self, task: Task) -> None:
        arrival = task.sending.arrival
        is_root = task.depth == 0
        if is_root:
            task.sending.runs += 1
        self._fleet.note_run(
            Run(
                at_s=self._engine.now_s,
                received_s=task.received_s,
                host=task.host.up.name,
                request_id=arrival.request_id,
                key=arrival.key if is_root else '',
                service=task.work.service,
            )
        )

    def _note_cut(self, task: Task) -> None:
        if task.host.condition.planned:
            self._fleet.cuts.append(
                Cut(
                    host=task.host.up.name,
                    request_id=task.sending.arrival.request_id,
                )
            )


def _may_start(task: Task, now_s: float) -> bool:
    if task.admit_run is not None:
        return task.admit_run(now_s)
    return now_s < task.start_by_s


def _admission(task: Task, ticket: str) -> AdmissionRequest:
    return AdmissionRequest(
        ticket=ticket,
        root_id=task.sending.root_id,
        caller=task.sending.arrival.caller,
        importance=task.sending.arrival.importance,
        deadline_s=task.sending.deadline_s,
        depth=task.depth,
        accepts_long_wait=task.sending.state.policy.idempotent,
    )


def _completion(
    kind: CompletionKind, spent_s: float, below_s: float = 0
) -> Completion:
    return Completion(kind=kind, service_time_s=spent_s, downstream_s=below_s)


def _end(kind: VerdictKind, outcome: Outcome, text: str) -> Any:
    return CallEnd(kind=kind, outcome=outcome, text=text)
