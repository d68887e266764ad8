"""Runs calls with an idempotency key on the node that owns the key."""

from http import HTTPStatus

import msgspec

from fescueknot.calls import Outcome
from fescueknot.idempotency import verdicts as decisions
from fescueknot.idempotency.entries import Header as StoredHeader
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.idempotency.keys import fingerprint, operation_key
from fescueknot.node import headers, problems, refusals
from fescueknot.node.connections import never_gone
from fescueknot.node.door import Passage
from fescueknot.node.hard_retries import HardRetries
from fescueknot.node.jobs import Job
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.messages import Header, HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime
from fescueknot.node.target_client import SHED_STATUSES
from fescueknot.node.verdicts import VerdictKind
from fescueknot.node.work import LocalWork

# The answer of a started run is awaited beyond the caller's deadline: it is
# stored and serves repeated requests with the same key.
_EXTRA_ANSWER_WAIT_S = 5.0

_REPLAYED = Header(name='Idempotency-Replayed', text='true')


class KeyedRunner:
    """Runs each key at most once and replays its answer to repeats."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        key_member: LockedKeyMember,
        work: LocalWork,
    ) -> None:
        self._runtime = runtime
        self._key_member = key_member
        self._work = work
        self._hard = HardRetries(runtime=runtime)

    def run(self, job: Job) -> HttpAnswer:
        """Return the answer or a refusal, with this node's verdict."""
        importance = job.envelope.context.importance
        with self._work.door.passing(importance) as passage:
            if passage is Passage.OPEN:
                done = self._apply_decision(job)
            else:
                done = refusals.owner_at_door(passage)
            return self._work.stamp(job, done)

    def _apply_decision(self, job: Job) -> refusals.Done:
        request = job.request
        key = operation_key(
            service=self._runtime.service,
            caller='',
            text=headers.key_of(request),
        )
        with self._key_member.locked() as member:
            decision = member.gate.decide(
                key,
                fingerprint=fingerprint(
                    method=request.method,
                    path=request.path,
                    body=_body_with_credentials(request),
                ),
                now_s=self._runtime.now_s(),
                wall_s=self._runtime.wall_s(),
                start_by_s=job.deadline_s,
            )
        if isinstance(decision, decisions.Run):
            return self._run_once(job, decision)
        if isinstance(decision, decisions.Repeat):
            return _replayed(decision.answer)
        if isinstance(decision, decisions.Forward):
            return refusals.other_owner(decision.owner)
        return _to_refusal(decision)

    def _run_once(self, job: Job, decision: decisions.Run) -> refusals.Done:
        early = self._hard.early(decision.token)
        if early is not None:
            self._record_end(decision.token, early)
            return early
        committed = msgspec.structs.replace(
            job,
            start_by_s=decision.start_by_s,
            deadline_s=job.deadline_s + _EXTRA_ANSWER_WAIT_S,
            caller_gone=never_gone,
        )
        try:
            done = self._work.attempt(committed)
        except BaseException:
            self._record_lost_answer(decision.token)
            raise
        self._hard.note(decision.token, done)
        self._record_end(decision.token, done)
        return done

    def _record_end(
        self,
        token: decisions.RunToken,
        done: refusals.Done,
    ) -> None:
        with self._key_member.locked() as member:
            if _was_not_run(done):
                member.gate.not_run(token)
            elif done.kind is VerdictKind.ANSWERED:
                member.gate.finished(token, _to_stored(done.answer))
            else:
                member.gate.answer_lost(token)

    def _record_lost_answer(self, token: decisions.RunToken) -> None:
        with self._key_member.locked() as member:
            member.gate.answer_lost(token)


def _body_with_credentials(request: HttpRequest) -> bytes:
    """Return the credentials and the body, for the request's fingerprint.

    A client account that happens to use the key of another account has other
    credentials: its request is refused and never gets the other account's
    answer.
    """
    credentials = request.header(headers.AUTHORIZATION).encode()
    return b'\n'.join((credentials, request.body))


def _was_not_run(done: refusals.Done) -> bool:
    if done.outcome is Outcome.NOT_RUN:
        return True
    declined = done.answer.status in SHED_STATUSES
    return declined and bool(done.answer.header(headers.RETRY_AFTER))


def _to_stored(answer: HttpAnswer) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        headers=tuple(
            StoredHeader(name=field.name, content=field.text)
            for field in headers.end_to_end(answer.headers)
        ),
        body=answer.body,
    )


def _replayed(stored: StoredAnswer) -> refusals.Done:
    fields = tuple(
        Header(name=field.name, text=field.content) for field in stored.headers
    )
    return refusals.Done(
        kind=VerdictKind.ANSWERED,
        outcome=Outcome.RUN,
        answer=HttpAnswer(
            status=stored.status,
            headers=(*fields, _REPLAYED),
            body=stored.body,
        ),
    )


def _to_refusal(decision: decisions.Refused) -> refusals.Done:
    problem = problems.Problem(
        status=HTTPStatus(decision.status),
        title=f'At most once: {decision.reason.value}',
        detail=decision.text,
        outcome=decision.outcome,
        retry_after_s=decision.retry_after_s or 0,
    )
    return refusals.Done(
        kind=VerdictKind.KEY_REFUSED,
        outcome=decision.outcome,
        answer=problems.to_answer(problem),
    )
