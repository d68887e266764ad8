"""Runs a call on the local target: admission, dispatch, verdict.

Calls that another node sent and calls that enter at this node for its own
target take the same path.
"""

from fescueknot.admission.messages import AdmissionRequest, Refuse
from fescueknot.admission.rank import rank_of_level
from fescueknot.node import refusals, verdicts
from fescueknot.node.admission_desk import AdmissionDesk
from fescueknot.node.connections import CallerGone
from fescueknot.node.dispatch import Dispatcher
from fescueknot.node.door import Door, Passage
from fescueknot.node.envelope import Envelope
from fescueknot.node.errors import CallerGoneError
from fescueknot.node.jobs import Job
from fescueknot.node.levels_below import LevelsBelow
from fescueknot.node.messages import HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime
from fescueknot.node.spans import SpanWriter
from fescueknot.telemetry.traceparent import new_span_id

_MS_PER_S = 1000


class LocalWork:
    """Runs calls on the local target under admission control."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        desk: AdmissionDesk,
        dispatcher: Dispatcher,
        door: Door,
        spans: SpanWriter,
        levels: LevelsBelow,
    ) -> None:
        self._runtime = runtime
        self._desk = desk
        self._dispatcher = dispatcher
        self.door = door
        self._spans = spans
        self._levels = levels

    def new_job(
        self,
        envelope: Envelope,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> Job:
        """Return a job whose deadline counts from now."""
        left_s = envelope.context.remaining_ms / _MS_PER_S
        deadline_s = self._runtime.now_s() + left_s
        return Job(
            ticket=new_span_id(self._runtime.rng),
            envelope=envelope,
            request=request,
            deadline_s=deadline_s,
            start_by_s=deadline_s,
            caller_gone=caller_gone,
        )

    def run(self, job: Job) -> HttpAnswer:
        """Return the target's answer or a refusal, with the verdict header."""
        with self.door.passing(job.envelope.context.importance) as passage:
            if passage is Passage.OPEN:
                done = self.attempt(job)
            else:
                done = refusals.at_door(passage)
            return self.stamp(job, done)

    def attempt(self, job: Job) -> refusals.Done:
        """Admit and dispatch a job that is counted as in progress."""
        started_s = self._runtime.now_s()
        self._levels.renew(started_s)
        try:
            decision = self._desk.admit(
                _admission_request(job), job.caller_gone
            )
        except CallerGoneError:
            return refusals.caller_gone()
        queued_s = self._runtime.now_s() - started_s
        if isinstance(decision, Refuse):
            done = refusals.by_admission(decision)
        else:
            done = self._dispatcher.run(job)
        self._spans.record_work(
            job, done, started_s=started_s, queued_s=queued_s
        )
        return done

    def stamp(self, job: Job, done: refusals.Done) -> HttpAnswer:
        """Return the answer with a verdict header for the calling node."""
        local_level = self._desk.pressure()
        verdict = verdicts.Verdict(
            kind=done.kind,
            outcome=done.outcome,
            instance=self._runtime.instance,
            allotment_left=_unspent(job, done),
            level=self._levels.lowered(local_level, self._runtime.now_s()),
            own_rank=rank_of_level(local_level),
            owner=done.owner,
        )
        return verdicts.add_verdict(done.answer, verdict)


def _unspent(job: Job, done: refusals.Done) -> int:
    if done.spent_no_attempts:
        return job.envelope.context.retry_allotment
    return done.unspent


def _admission_request(job: Job) -> AdmissionRequest:
    context = job.envelope.context
    return AdmissionRequest(
        ticket=job.ticket,
        root_id=context.root_id,
        caller=context.caller,
        importance=context.importance,
        deadline_s=job.start_by_s,
        depth=context.depth,
        patient=job.envelope.policy.idempotent,
    )
