"""Attempts of a call that any instance may serve, as the node makes them."""

import random

import msgspec

from fescueknot.admission.rank import rank_of, root_position
from fescueknot.calls import Outcome
from fescueknot.identity import InstanceId
from fescueknot.node.failures import FAILURE_KINDS
from fescueknot.node.verdicts import VerdictKind
from fescueknot.replay.distances import way_s
from fescueknot.replay.engine import Pause, Process
from fescueknot.replay.events import Ending, Work
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.host import Host
from fescueknot.replay.line import Line
from fescueknot.replay.state import CallEnd, Sending
from fescueknot.replay.target import TargetSide, Task
from fescueknot.retries.allotment import AllotmentShare, RetryAllotment
from fescueknot.retries.policy import FailedAttempt, GiveUp
from fescueknot.routing.messages import NoTarget

_SILENCE_S = 0.5


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call from the node of ``origin``; ``depth`` counts the hops."""

    origin: Host
    sending: Sending
    work: Work
    depth: int
    lent: int


class Attempts:
    """Picks, sends, judges, and tries again or gives up."""

    def __init__(self, *, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._engine = fleet.engine
        self._rng = rng
        self.targets = TargetSide(fleet=fleet, below=self._below)

    def run(self, call: Call) -> Process:
        """Return the end of the call after all attempts."""
        line = self._fleet.line(call.origin, call.work.service)
        line.policy.first_attempt()
        call.sending.calls += 1
        allotment = self._fleet.mechanisms.allotment(call.lent)
        excluded: frozenset[InstanceId] = frozenset()
        worst = Outcome.NOT_RUN
        attempts = 0
        while True:
            attempts += 1
            end, tried = yield from self._attempt(
                call, line, allotment, excluded
            )
            if end.kind is VerdictKind.ANSWERED:
                return _with_unspent(end, allotment)
            excluded |= tried
            worst = end.outcome if worst is Outcome.NOT_RUN else worst
            decision = line.policy.decide(
                call.sending.state.policy,
                FailedAttempt(
                    kind=FAILURE_KINDS[end.kind],
                    outcome=end.outcome,
                    attempts=attempts,
                    remaining_s=call.sending.deadline_s - self._engine.now_s,
                ),
                allotment,
                self._rng,
            )
            if isinstance(decision, GiveUp):
                given_up = msgspec.structs.replace(end, outcome=worst)
                return _with_unspent(given_up, allotment)
            yield Pause(wait_s=decision.wait_s)

    def _attempt(
        self,
        call: Call,
        line: Line,
        allotment: RetryAllotment,
        excluded: frozenset[InstanceId],
    ) -> Process:
        sending = call.sending
        rank = rank_of(
            sending.arrival.importance, root_position(sending.root_id)
        )
        picked = line.picker.pick(self._engine.now_s, self._rng, excluded, rank)
        if isinstance(picked, NoTarget):
            end = CallEnd(
                kind=VerdictKind.REFUSED,
                outcome=Outcome.NOT_RUN,
                text=picked.reason.value,
            )
            return end, frozenset()
        sending.attempts += 1
        lent = allotment.lend_to_attempt()
        line.picker.started(picked.instance)
        began_s = self._engine.now_s
        end = yield from self._send(call, picked.instance, lent.attempts)
        now_s = self._engine.now_s
        line.finished(picked.instance, end, now_s - began_s, now_s)
        if end.level is not None:
            call.origin.levels.record(line.service, end.level, now_s)
        back = min(end.unspent, lent.attempts)
        allotment.give_back(AllotmentShare(attempts=back))
        return end, frozenset((picked.instance,))

    def _send(self, call: Call, instance: InstanceId, lent: int) -> Process:
        target = self._fleet.find(instance)
        way = Pause(wait_s=way_s(call.origin, target))
        yield way
        ending = call.sending.state.next_ending(call.work)
        if ending is Ending.SILENT:
            yield Pause(wait_s=_SILENCE_S)
            return CallEnd(
                kind=VerdictKind.BROKEN,
                outcome=Outcome.UNKNOWN,
                text='connection silent',
            )
        task = Task(
            host=target,
            sending=call.sending,
            work=call.work,
            depth=call.depth,
            lent=lent,
            ending=ending,
            received_s=self._engine.now_s,
            start_by_s=call.sending.deadline_s,
        )
        end = yield from self.targets.serve(task)
        yield way
        return end

    def _below(self, task: Task, work: Work, lent: int) -> Process:
        call = Call(
            origin=task.host,
            sending=task.sending,
            work=work,
            depth=task.depth + 1,
            lent=lent,
        )
        return (yield from self.run(call))


def _with_unspent(end: CallEnd, allotment: RetryAllotment) -> CallEnd:
    return msgspec.structs.replace(end, unspent=allotment.held)
