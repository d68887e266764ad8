"""Spans of the hops on this node."""

import typing

from fescueknot.node.entry_calls import EntryCall
from fescueknot.node.jobs import Job
from fescueknot.node.refusals import CallEnd
from fescueknot.node.runtime import Runtime
from fescueknot.telemetry.recorder import Telemetry
from fescueknot.telemetry.spans import Span

_MS_PER_S = 1000


class SpanWriter:
    """Writes the spans of one node."""

    def __init__(self, *, telemetry: Telemetry, runtime: Runtime) -> None:
        self._telemetry = telemetry
        self._runtime = runtime

    def work(
        self,
        job: Job,
        end: CallEnd,
        *,
        started_s: float,
        queued_s: float,
    ) -> None:
        """Record the work of this node on one call."""
        context = job.envelope.context
        policy = job.envelope.policy
        self._record(
            end,
            started_s,
            name='work',
            service=self._runtime.service,
            trace_id=context.root_id,
            span_id=job.ticket,
            parent_span_id=job.envelope.span_id,
            importance=context.importance,
            rule=policy.rule,
            requested_by=policy.requested_by,
            attempt=job.envelope.attempt,
            queue_ms=queued_s * _MS_PER_S,
        )

    def entry(self, call: EntryCall, end: CallEnd, attempts: int) -> None:
        """Record the entry of one call into the layer."""
        self._record(
            end,
            call.started_s,
            name='entry',
            service=call.service,
            trace_id=call.context.root_id,
            span_id=call.span_id,
            parent_span_id=call.parent_span_id,
            importance=call.context.importance,
            rule=call.policy.rule,
            requested_by=call.policy.requested_by,
            attempt=attempts,
        )

    def _record(
        self,
        end: CallEnd,
        started_s: float,
        **fields: typing.Any,
    ) -> None:
        duration_s = self._runtime.now_s() - started_s
        span = Span(
            instance=self._runtime.instance.name,
            decision=end.kind.value,
            start_wall_s=self._runtime.wall_s() - duration_s,
            duration_ms=duration_s * _MS_PER_S,
            status=end.answer.status,
            **fields,
        )
        self._telemetry.record(span)
