"""One call at the node of its target: admission, dispatch, verdict.

The same code serves calls that came from another node and calls that entered
here and stay on this host.
"""

from fescueknot.admission.messages import AdmissionRequest, Refuse
from fescueknot.admission.rank import rank_of_level
from fescueknot.node import refusals, verdicts
from fescueknot.node.blocking_gate import BlockingGate
from fescueknot.node.call_limiter import CallLimiter, LimiterDecision
from fescueknot.node.connections import CallerGone
from fescueknot.node.dispatch import Dispatcher
from fescueknot.node.downstream_levels import DownstreamLevels
from fescueknot.node.envelope import Envelope
from fescueknot.node.errors import CallerGoneError
from fescueknot.node.jobs import Job
from fescueknot.node.messages import HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime
from fescueknot.node.spans import SpanWriter
from fescueknot.telemetry.traceparent import new_span_id

_MS_PER_S = 1000


class LocalRunner:
    """Runs calls on the local target under admission control."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        gate: BlockingGate,
        dispatcher: Dispatcher,
        limiter: CallLimiter,
        spans: SpanWriter,
        below: DownstreamLevels,
    ) -> None:
        self._runtime = runtime
        self._gate = gate
        self._dispatcher = dispatcher
        self.limiter = limiter
        self._spans = spans
        self._below = below

    def job(
        self,
        envelope: Envelope,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> Job:
        """Return a job whose time left starts to run now."""
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
        """Return the target's answer or a refusal, with the verdict."""
        with self.limiter.acquire(job.envelope.context.importance) as decision:
            if decision is LimiterDecision.ACCEPTED:
                end = self.admit_and_dispatch(job)
            else:
                end = refusals.by_limiter(decision)
            return self.with_verdict(job, end)

    def admit_and_dispatch(self, job: Job) -> refusals.CallEnd:
        """Admit and dispatch a job that is already counted as work."""
        started_s = self._runtime.now_s()
        self._below.renew(started_s)
        try:
            decision = self._gate.enter(_admission(job), job.caller_gone)
        except CallerGoneError:
            return refusals.caller_gone()
        queued_s = self._runtime.now_s() - started_s
        if isinstance(decision, Refuse):
            end = refusals.by_admission(decision)
        else:
            end = self._dispatcher.run(job)
        self._spans.work(job, end, started_s=started_s, queued_s=queued_s)
        return end

    def with_verdict(self, job: Job, end: refusals.CallEnd) -> HttpAnswer:
        """Return the answer with the verdict for the calling node."""
        own = self._gate.pressure()
        verdict = verdicts.Verdict(
            kind=end.kind,
            outcome=end.outcome,
            instance=self._runtime.instance,
            allotment_left=_unspent(job, end),
            level=self._below.lowered(own, self._runtime.now_s()),
            own_rank=rank_of_level(own),
            owner=end.owner,
        )
        return verdicts.stamp(end.answer, verdict)


def _unspent(job: Job, end: refusals.CallEnd) -> int:
    if end.kept_all:
        return job.envelope.context.retry_allotment
    return end.unspent


def _admission(job: Job) -> AdmissionRequest:
    context = job.envelope.context
    return AdmissionRequest(
        ticket=job.ticket,
        root_id=context.root_id,
        caller=context.caller,
        importance=context.importance,
        deadline_s=job.start_by_s,
        depth=context.depth,
        accepts_long_wait=job.envelope.policy.idempotent,
    )
