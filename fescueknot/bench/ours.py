"""The decisions of this package, wired as the node wires them."""

import random

import msgspec

from fescueknot.admission.levelbook import LevelBook
from fescueknot.admission.messages import (
    AdmissionLevel,
    AdmissionRequest,
    Admit,
    Completion,
    CompletionKind,
    FinalDecision,
    Wait,
)
from fescueknot.admission.rank import (
    rank_of,
    rank_of_level,
    root_position,
)
from fescueknot.bench.arms import Arm, Verdict
from fescueknot.bench.ournode import OurNode, Reports
from fescueknot.bench.parts import Call, Ending, FakeTarget, Try, Visit
from fescueknot.calls import CallPolicy, Importance, Outcome
from fescueknot.retries.hard import Repeated
from fescueknot.retries.policy import (
    FailedAttempt,
    FailureKind,
    RetryAfter,
)
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    CandidateState,
    LoadReport,
    NoTarget,
    ResultKind,
)

_ALLOTMENT = 3
_WARM_SINCE_S = -1000.0


class OurLayer(Arm):
    """One node beside each target."""

    name = 'ours'
    cancels = True
    extra_attempts = _ALLOTMENT

    def __init__(
        self, *, services: list[list[FakeTarget]], rng: random.Random
    ) -> None:
        super().__init__(services=services, rng=rng)
        self.reports = Reports()
        self._targets = {
            target.instance: target
            for service in services
            for target in service
        }
        self._nodes = {
            instance: OurNode(target=target, services=len(services))
            for instance, target in self._targets.items()
        }
        self._waiting: dict[str, Visit] = {}
        self.roster_changed(0)

    def enter(self, root: Try, node: FakeTarget, now_s: float) -> Ending | None:
        """Refuse what repeats too early or would be shed later."""
        ours = self._nodes[node.instance]
        seen = ours.filter.check(root.key, root.deadline_s, now_s)
        if isinstance(seen, Repeated):
            return _refused(seen.retry_after_s)
        if ours.book.refuses('0', root.importance, root.root_id, now_s):
            wait_s = ours.book.retry_after_s('0', root.root_id, now_s)
            ours.filter.refused(root.key, wait_s, now_s)
            return _refused(wait_s)
        ours.book.passed('0', now_s)
        return None

    def leave(
        self, root: Try, node: FakeTarget, ending: Ending, now_s: float
    ) -> Ending:
        """Remember the answer for repetitions; add a return time."""
        ours = self._nodes[node.instance]
        if ending.kind is ResultKind.OK:
            ours.filter.answered(root.key)
            return ending
        wait_s = ending.retry_after_s
        wait_s = wait_s or ours.book.retry_after_s('0', root.root_id, now_s)
        ours.filter.refused(root.key, wait_s, now_s)
        return msgspec.structs.replace(ending, retry_after_s=wait_s)

    def pick(self, call: Call, now_s: float) -> FakeTarget | None:
        """Choose a target by the picker of the calling node."""
        ours = self._nodes[call.node.instance]
        picker = ours.pickers[call.depth]
        rank = _root_rank(call.root)
        picked = picker.pick(now_s, self._rng, call.excluded, rank)
        if isinstance(picked, NoTarget):
            return None
        if call.attempts == 0:
            ours.policies[call.depth].first_attempt()
        picker.started(picked.instance)
        return self._targets[picked.instance]

    def offer(self, visit: Visit, now_s: float) -> list[Verdict]:
        """Offer a visit to the gate of its target."""
        root = visit.call.root
        gate = self._nodes[visit.target.instance].gate
        request = AdmissionRequest(
            ticket=visit.ticket,
            root_id=root.root_id,
            caller=root.caller,
            importance=root.importance,
            deadline_s=root.deadline_s,
            depth=visit.call.depth,
            accepts_long_wait=root.importance >= Importance.NORMAL,
        )
        decision = gate.offer(request, now_s)
        if isinstance(decision, Wait):
            self._waiting[visit.ticket] = visit
            return self._verdicts(gate.expire(now_s))
        return [_verdict(visit, decision)]

    def finish(
        self, visit: Visit, kind: ResultKind, now_s: float
    ) -> list[Verdict]:
        """Tell the gate how a visit ended."""
        gate = self._nodes[visit.target.instance].gate
        completion = Completion(
            kind=CompletionKind(kind.value),
            service_time_s=now_s - visit.started_s,
            downstream_s=visit.below_s,
        )
        return self._verdicts(gate.finish(visit.ticket, completion, now_s))

    def returned(self, visit: Visit, ending: Ending, now_s: float) -> None:
        """Let the calling node learn from an answer."""
        report = None
        if ending.kind is not ResultKind.UNREACHABLE:
            level = self._nodes[visit.target.instance].gate.pressure()
            name = visit.target.instance.name
            report = self.reports.spoil(name, _load(level), now_s)
            answering = self._nodes[visit.target.instance]
            caller = self._nodes[visit.call.node.instance]
            caller.learn(visit.call.depth, level, answering.book, now_s)
        result = CallResult(
            kind=ending.kind,
            latency_s=now_s - visit.sent_s,
            report=report,
        )
        picker = self._nodes[visit.call.node.instance].pickers[visit.call.depth]
        picker.finished(visit.target.instance, result, now_s)

    def retry_wait_s(
        self, visit: Visit, ending: Ending, now_s: float
    ) -> float | None:
        """Ask the retry policy of the calling node."""
        call = visit.call
        ours = self._nodes[call.node.instance]
        call.excluded |= {visit.target.instance}
        attempt = FailedAttempt(
            kind=_failure(ours.book, call, ending, now_s),
            outcome=ending.outcome,
            attempts=call.attempts,
            remaining_s=call.root.deadline_s - now_s,
        )
        policy = CallPolicy(
            importance=call.root.importance,
            idempotent=call.root.importance >= Importance.NORMAL,
        )
        decision = ours.policies[call.depth].decide(
            policy, attempt, call.allotment, self._rng
        )
        return decision.wait_s if isinstance(decision, RetryAfter) else None

    def tick(self, now_s: float) -> list[Verdict]:
        """Let the gates decide about visits that waited."""
        verdicts = []
        for node in self._nodes.values():
            verdicts.extend(self._verdicts(node.gate.expire(now_s)))
        return verdicts

    def restarted(self, target: FakeTarget) -> None:
        """Start the node beside a target anew."""
        node = OurNode(target=target, services=len(self._services))
        self._nodes[target.instance] = node
        self._waiting = {
            ticket: visit
            for ticket, visit in self._waiting.items()
            if visit.target is not target
        }

    def roster_changed(self, now_s: float) -> None:
        """Give the pickers the targets that are left."""
        started_s = now_s or _WARM_SINCE_S
        for depth, service in enumerate(self._services):
            candidates = tuple(
                Candidate(
                    instance=target.instance,
                    place=target.place,
                    state=CandidateState.SERVING,
                    connection_limit=target.connections,
                    started_s=started_s if target.epoch else _WARM_SINCE_S,
                )
                for target in service
                if not target.lost
            )
            for node in self._nodes.values():
                node.pickers[depth].update(candidates, len(self._nodes))

    def _verdicts(self, settled: tuple[FinalDecision, ...]) -> list[Verdict]:
        return [
            _verdict(self._waiting.pop(decision.ticket), decision)
            for decision in settled
        ]


def _verdict(visit: Visit, decision: FinalDecision) -> Verdict:
    if isinstance(decision, Admit):
        return Verdict(visit=visit, admitted=True)
    return Verdict(
        visit=visit,
        admitted=False,
        retry_after_s=decision.retry_after_s,
    )


def _refused(wait_s: float) -> Ending:
    return Ending(
        kind=ResultKind.REFUSED,
        outcome=Outcome.NOT_RUN,
        retry_after_s=wait_s,
    )


def _root_rank(root: Try) -> float:
    return rank_of(root.importance, root_position(root.root_id))


def _load(level: AdmissionLevel) -> LoadReport:
    return LoadReport(
        limit=level.limit,
        in_flight=level.in_flight,
        waiting=level.waiting,
        level_rank=rank_of_level(level),
    )


def _failure(
    book: LevelBook, call: Call, ending: Ending, now_s: float
) -> FailureKind:
    if ending.kind is ResultKind.CANCELLED:
        return FailureKind.TIMEOUT
    if ending.kind is not ResultKind.REFUSED:
        return FailureKind(ending.kind.value)
    root = call.root
    shed = book.refuses(str(call.depth), root.importance, root.root_id, now_s)
    return FailureKind.SHED if shed else FailureKind.REFUSED
