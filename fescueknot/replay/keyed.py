"""Calls with an at-most-once key, from the entry to the owner's ledger."""

from fescueknot.calls import Outcome
from fescueknot.idempotency import verdicts
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.idempotency.keys import fingerprint, operation_key
from fescueknot.identity import InstanceId
from fescueknot.node.verdicts import VerdictKind
from fescueknot.replay.attempts import Attempts, Call
from fescueknot.replay.distances import way_s
from fescueknot.replay.engine import Pause, Process
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.host import Host
from fescueknot.replay.state import CallEnd
from fescueknot.replay.target import Task

_MOST_HOPS = 3
_HAND_OVER_S = 0.0005
_DONE_STATUS = 200


class KeyedCalls:
    """Asks the owner of a key, as the node does."""

    def __init__(self, *, fleet: Fleet, attempts: Attempts) -> None:
        self._fleet = fleet
        self._engine = fleet.engine
        self._attempts = attempts

    def run(self, call: Call) -> Process:
        """Return the answer of the owner, or what is known without one."""
        call.sending.calls += 1
        owner = self._first_owner(call)
        end = _no_owner()
        hops = 0
        while owner is not None and hops < _MOST_HOPS:
            hops += 1
            call.sending.attempts += 1
            end = yield from self._ask(call, self._fleet.find(owner))
            owner = None if end.owner == owner else end.owner
        return end

    def _first_owner(self, call: Call) -> InstanceId | None:
        """Return the owner as the roster known nearest to the entry has it.

        That is the entry's own, when it serves this service.
        """
        hosts = self._fleet.of_service(call.work.service)
        if call.origin in hosts:
            hosts = (call.origin, *hosts)
        for host in hosts:
            if host.reachable and host.member is not None:
                return host.member.view.ownership.owner(_key(call).number)
        return None

    def _ask(self, call: Call, owner: Host) -> Process:
        way = Pause(wait_s=way_s(call.origin, owner))
        yield way
        if owner.condition.gone:
            return CallEnd(
                kind=VerdictKind.UNREACHABLE,
                outcome=Outcome.UNKNOWN,
                text='owner not reached',
            )
        yield from owner.awake()
        if owner.condition.door_closed:
            return _told(verdicts.refusal(verdicts.Reason.OWNER_LEAVING))
        owner.condition.in_progress += 1
        end = yield from self._decide(call, owner)
        owner.condition.in_progress -= 1
        yield way
        return end

    def _decide(self, call: Call, owner: Host) -> Process:
        arrival = call.sending.arrival
        decision = owner.member.gate.decide(
            _key(call),
            fingerprint=fingerprint(
                method='POST',
                path=arrival.work.service,
                body=arrival.wanted.encode(),
            ),
            now_s=self._engine.now_s,
            wall_s=self._engine.wall_s,
            start_by_s=call.sending.deadline_s,
        )
        if isinstance(decision, verdicts.Run):
            return (yield from self._begin(call, owner, decision))
        yield Pause(wait_s=_HAND_OVER_S)
        return _told(decision)

    def _begin(self, call: Call, owner: Host, run: verdicts.Run) -> Process:
        def admit_run(now_s: float) -> bool:  # noqa: WPS430 - binds the token
            return owner.guard.admit(
                run.token, start_by_s=run.start_by_s, now_s=now_s
            )

        task = Task(
            host=owner,
            sending=call.sending,
            work=call.work,
            depth=call.depth,
            lent=call.lent,
            received_s=self._engine.now_s,
            admit_run=admit_run,
        )
        end = yield from self._attempts.targets.admitted(task)
        if not owner.condition.gone:
            _settle(owner, run.token, end)
        return end


def _settle(owner: Host, token: verdicts.RunToken, end: CallEnd) -> None:
    gate = owner.member.gate
    if end.outcome is Outcome.NOT_RUN:
        gate.not_run(token)
    elif end.kind is VerdictKind.ANSWERED:
        body = end.answer.encode()
        gate.finished(token, StoredAnswer(status=_DONE_STATUS, body=body))
    else:
        gate.answer_lost(token)


def _key(call: Call):
    arrival = call.sending.arrival
    return operation_key(
        service=arrival.work.service, caller='', text=arrival.key
    )


def _told(decision: verdicts.Verdict) -> CallEnd:
    if isinstance(decision, verdicts.Repeat):
        return CallEnd(
            kind=VerdictKind.ANSWERED,
            outcome=Outcome.RUN,
            answer=decision.answer.body.decode(),
        )
    if isinstance(decision, verdicts.Forward):
        return CallEnd(
            kind=VerdictKind.OTHER_OWNER,
            outcome=Outcome.UNKNOWN,
            text='another owner',
            owner=decision.owner,
        )
    return CallEnd(
        kind=VerdictKind.KEY_REFUSED,
        outcome=decision.outcome,
        text=decision.reason.value,
        retry_after_s=decision.retry_after_s or 0,
    )


def _no_owner() -> CallEnd:
    return CallEnd(
        kind=VerdictKind.KEY_REFUSED,
        outcome=Outcome.UNKNOWN,
        text=verdicts.Reason.NO_OWNER.value,
    )
