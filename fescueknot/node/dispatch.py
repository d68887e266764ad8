"""Hands an admitted call to the local target."""

from http import HTTPStatus

from fescueknot.admission.messages import Completion, CompletionKind
from fescueknot.calls import Outcome
from fescueknot.identity import Address
from fescueknot.node.blocking_gate import BlockingGate
from fescueknot.node.errors import TransportError
from fescueknot.node.failures import COMPLETION_KINDS
from fescueknot.node.jobs import Job
from fescueknot.node.messages import HttpAnswer
from fescueknot.node.parent_calls import ParentCall, ParentCalls, TimeBelow
from fescueknot.node.refusals import CallEnd, by_transport, too_late
from fescueknot.node.runtime import Runtime
from fescueknot.node.target_client import SHED_STATUSES, TargetClient
from fescueknot.node.verdicts import VerdictKind
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.telemetry.traceparent import TraceContext


class Dispatcher:
    """Calls the target, and tells the admission desk how it went."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        target: TargetClient,
        parents: ParentCalls,
        gate: BlockingGate,
    ) -> None:
        self._runtime = runtime
        self._target = target
        self._parents = parents
        self._gate = gate

    def run(self, job: Job) -> CallEnd:
        """Return the target's answer, or what is known without one."""
        started_s = self._runtime.now_s()
        if started_s >= job.start_by_s:
            self._leave(job, CompletionKind.CANCELLED, started_s)
            return too_late()
        self._parents.begin(_parent(job))
        try:
            answer = self._call(job)
        except TransportError as error:
            self._leave(job, COMPLETION_KINDS[type(error)], started_s)
            return by_transport(error)
        except BaseException:
            self._leave(job, CompletionKind.FAILED, started_s)
            raise
        left = self._leave(job, _completion_of(answer), started_s)
        return CallEnd(
            kind=VerdictKind.ANSWERED,
            outcome=Outcome.RUN,
            answer=answer,
            unspent=left,
        )

    def _call(self, job: Job) -> HttpAnswer:
        trace = TraceContext(
            trace_id=job.envelope.context.root_id,
            span_id=job.ticket,
        )
        return self._target.call(
            job.request,
            traceparent=str(trace),
            deadline_s=job.deadline_s,
            start_by_s=job.start_by_s,
            caller_gone=job.caller_gone,
        )

    def _leave(
        self,
        job: Job,
        kind: CompletionKind,
        started_s: float,
    ) -> int:
        """Report the end; return the extra attempts that were not spent."""
        parent = self._parents.end(job.ticket)
        completion = Completion(
            kind=kind,
            service_time_s=self._runtime.now_s() - started_s,
            downstream_s=parent.below.spent_s if parent else 0,
        )
        self._gate.leave(job.ticket, completion)
        return parent.allotment.held if parent else 0


def _parent(job: Job) -> ParentCall:
    context = job.envelope.context
    return ParentCall(
        context=context,
        span_id=job.ticket,
        deadline_s=job.deadline_s,
        allotment=RetryAllotment(attempts=context.retry_allotment),
        below=TimeBelow(),
    )


def _completion_of(answer: HttpAnswer) -> CompletionKind:
    if answer.status in SHED_STATUSES:
        return CompletionKind.REFUSED
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return CompletionKind.FAILED
    return CompletionKind.OK


def build_dispatcher(
    runtime: Runtime,
    target: Address,
    parents: ParentCalls,
    gate: BlockingGate,
) -> Dispatcher:
    """Return a dispatcher to the target at that address."""
    client = TargetClient(address=target, runtime=runtime)
    return Dispatcher(
        runtime=runtime,
        target=client,
        parents=parents,
        gate=gate,
    )
