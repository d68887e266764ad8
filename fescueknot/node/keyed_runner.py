"""Work on calls with an idempotency key, at the node that owns the key."""

from http import HTTPStatus

import msgspec

from fescueknot.calls import Outcome
from fescueknot.idempotency import verdicts as decisions
from fescueknot.idempotency.entries import Header as StoredHeader
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.idempotency.keys import fingerprint, operation_key
from fescueknot.node import headers, problems, refusals
from fescueknot.node.call_limiter import LimiterDecision
from fescueknot.node.connections import never_gone
from fescueknot.node.hard_retries import HardRetries
from fescueknot.node.jobs import Job
from fescueknot.node.local_runner import LocalRunner
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.messages import Header, HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime
from fescueknot.node.target_client import SHED_STATUSES
from fescueknot.node.verdicts import VerdictKind

# A run that began is worth waiting for: its answer serves the repeats.
_PATIENCE_S = 5.0

_REPLAYED = Header(name='Idempotency-Replayed', text='true')


class KeyedRunner:
    """Runs each key at most once, and answers repeats."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        key_member: LockedKeyMember,
        local_runner: LocalRunner,
    ) -> None:
        self._runtime = runtime
        self._desk = key_member
        self._local_runner = local_runner
        self._hard = HardRetries(runtime=runtime)

    def run(self, job: Job) -> HttpAnswer:
        """Return the answer or a refusal, with the verdict."""
        importance = job.envelope.context.importance
        with self._local_runner.limiter.acquire(importance) as decision:
            if decision is LimiterDecision.ACCEPTED:
                end = self._decide(job)
            else:
                end = refusals.key_by_limiter(decision)
            return self._local_runner.with_verdict(job, end)

    def _decide(self, job: Job) -> refusals.CallEnd:
        request = job.request
        key = operation_key(
            service=self._runtime.service,
            caller='',
            text=headers.idempotency_key(request),
        )
        with self._desk.member() as member:
            decision = member.gate.decide(
                key,
                fingerprint=fingerprint(
                    method=request.method,
                    path=request.path,
                    body=_bound_to_sender(request),
                ),
                now_s=self._runtime.now_s(),
                wall_s=self._runtime.wall_s(),
                start_by_s=job.deadline_s,
            )
        if isinstance(decision, decisions.Run):
            return self._begin(job, decision)
        if isinstance(decision, decisions.Repeat):
            return _repeated(decision.answer)
        if isinstance(decision, decisions.Forward):
            return refusals.other_owner(decision.owner)
        return _refused(decision)

    def _begin(self, job: Job, decision: decisions.Run) -> refusals.CallEnd:
        early = self._hard.refuse_early(decision.token)
        if early is not None:
            self._settle(decision.token, early)
            return early
        committed = msgspec.structs.replace(
            job,
            start_by_s=decision.start_by_s,
            deadline_s=job.deadline_s + _PATIENCE_S,
            caller_gone=never_gone,
        )
        try:
            end = self._local_runner.admit_and_dispatch(committed)
        except BaseException:
            self._settle_lost(decision.token)
            raise
        self._hard.record(decision.token, end)
        self._settle(decision.token, end)
        return end

    def _settle(
        self,
        token: decisions.RunToken,
        end: refusals.CallEnd,
    ) -> None:
        with self._desk.member() as member:
            if _was_not_run(end):
                member.gate.not_run(token)
            elif end.kind is VerdictKind.ANSWERED:
                member.gate.finished(token, _stored(end.answer))
            else:
                member.gate.answer_lost(token)

    def _settle_lost(self, token: decisions.RunToken) -> None:
        with self._desk.member() as member:
            member.gate.answer_lost(token)


def _bound_to_sender(request: HttpRequest) -> bytes:
    """Return what tells one request under a key from another.

    The credentials count, so that a customer who happens to use the key of
    another one gets a refusal and never the other's answer.
    """
    credentials = request.header(headers.AUTHORIZATION).encode()
    return b'\n'.join((credentials, request.body))


def _was_not_run(end: refusals.CallEnd) -> bool:
    if end.outcome is Outcome.NOT_RUN:
        return True
    declined = end.answer.status in SHED_STATUSES
    return declined and bool(end.answer.header(headers.RETRY_AFTER))


def _stored(answer: HttpAnswer) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        headers=tuple(
            StoredHeader(name=field.name, content=field.text)
            for field in headers.end_to_end(answer.headers)
        ),
        body=answer.body,
    )


def _repeated(stored: StoredAnswer) -> refusals.CallEnd:
    fields = tuple(
        Header(name=field.name, text=field.content) for field in stored.headers
    )
    return refusals.CallEnd(
        kind=VerdictKind.ANSWERED,
        outcome=Outcome.RUN,
        answer=HttpAnswer(
            status=stored.status,
            headers=(*fields, _REPLAYED),
            body=stored.body,
        ),
    )


def _refused(decision: decisions.Refused) -> refusals.CallEnd:
    problem = problems.Problem(
        status=HTTPStatus(decision.status),
        title=f'At most once: {decision.reason.value}',
        detail=decision.text,
        outcome=decision.outcome,
        retry_after_s=decision.retry_after_s or 0,
    )
    return refusals.CallEnd(
        kind=VerdictKind.KEY_REFUSED,
        outcome=decision.outcome,
        answer=problems.to_answer(problem),
    )
