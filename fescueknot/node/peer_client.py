"""Sends a call to the node of an instance, or runs it here."""

import msgspec

from fescueknot.identity import InstanceId
from fescueknot.node import headers, refusals
from fescueknot.node.attempt_result import AttemptResult
from fescueknot.node.connections import CallerGone, request_with
from fescueknot.node.downstream_levels import DownstreamLevels
from fescueknot.node.entry_calls import EntryCall
from fescueknot.node.envelope import Envelope, EnvelopeCodec
from fescueknot.node.errors import (
    AnswerLostError,
    ConnectFailedError,
    TransportError,
)
from fescueknot.node.failures import RESULT_KINDS
from fescueknot.node.messages import Header, HttpAnswer
from fescueknot.node.runner import JobRunner
from fescueknot.node.runtime import Runtime
from fescueknot.node.service_channels import ServiceChannel, load_report
from fescueknot.node.verdicts import Verdict, read_verdict
from fescueknot.routing.messages import CallResult

_MS_PER_S = 1000
# The other node gives up at the deadline; its verdict needs this long.
_VERDICT_MARGIN_S = 0.1


class OutgoingAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt: where to, the how manyth, and the attempts lent."""

    instance: InstanceId
    number: int
    lent_attempts: int
    keyed: bool = False


class PeerClient:
    """Hands calls to instances, over HTTP or on this host."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        codec: EnvelopeCodec,
        runner: JobRunner,
        levels: DownstreamLevels,
    ) -> None:
        self._runtime = runtime
        self._codec = codec
        self._runner = runner
        self._levels = levels

    def send(
        self,
        outgoing: OutgoingAttempt,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> AttemptResult:
        """Return the answer of an instance, and learn from it."""
        started_s = self._runtime.now_s()
        if outgoing.keyed:
            channel.started(outgoing.instance)
        envelope = self._envelope(outgoing, call)
        if outgoing.instance == self._runtime.instance:
            result = self._locally(outgoing, envelope, call, caller_gone)
        else:
            result = self._remotely(
                outgoing, envelope, call, channel, caller_gone
            )
        self._learn(call, channel, result.verdict, outgoing, started_s)
        return result

    def _locally(
        self,
        outgoing: OutgoingAttempt,
        envelope: Envelope,
        call: EntryCall,
        caller_gone: CallerGone,
    ) -> AttemptResult:
        answer = self._runner.run(envelope, call.request, caller_gone)
        return _judged(outgoing, answer)

    def _remotely(
        self,
        outgoing: OutgoingAttempt,
        envelope: Envelope,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> AttemptResult:
        try:
            answer = self._exchange(
                outgoing, envelope, call, channel, caller_gone
            )
        except TransportError as error:
            return _failed(outgoing, error)
        return _judged(outgoing, answer)

    def _exchange(
        self,
        outgoing: OutgoingAttempt,
        envelope: Envelope,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        request = call.request
        sealed = self._codec.seal(
            envelope,
            method=request.method,
            path=request.path,
        )
        pool = channel.pool(outgoing.instance)
        if pool is None:
            raise ConnectFailedError('the instance is no longer known')
        return pool.call(
            request_with(request, Header(name=headers.ENVELOPE, text=sealed)),
            deadline_s=call.deadline_s + _VERDICT_MARGIN_S,
            caller_gone=caller_gone,
        )

    def _envelope(self, outgoing: OutgoingAttempt, call: EntryCall) -> Envelope:
        left_s = max(call.deadline_s - self._runtime.now_s(), 0)
        context = msgspec.structs.replace(
            call.context,
            remaining_ms=int(left_s * _MS_PER_S),
            retry_allotment=outgoing.lent_attempts,
        )
        return Envelope(
            context=context,
            policy=call.policy,
            service=call.service,
            span_id=call.span_id,
            attempt=outgoing.number,
            keyed=outgoing.keyed,
        )

    def _learn(
        self,
        call: EntryCall,
        channel: ServiceChannel,
        verdict: Verdict,
        outgoing: OutgoingAttempt,
        started_s: float,
    ) -> None:
        now_s = self._runtime.now_s()
        outcome = CallResult(
            kind=RESULT_KINDS[verdict.kind],
            latency_s=now_s - started_s,
            report=load_report(verdict),
        )
        channel.finished(outgoing.instance, outcome)
        if verdict.level is not None:
            self._levels.record(call.service, verdict.level, now_s)


def _judged(outgoing: OutgoingAttempt, answer: HttpAnswer) -> AttemptResult:
    verdict = read_verdict(answer)
    if verdict is None:
        return _failed(outgoing, AnswerLostError('no verdict'))
    return AttemptResult(answer=answer, verdict=verdict)


def _failed(outgoing: OutgoingAttempt, error: TransportError) -> AttemptResult:
    """Return the end of a try without an answer.

    A call that was certainly not run has spent nothing of what it was lent.
    """
    end = refusals.by_transport(error)
    verdict = Verdict(
        kind=end.kind,
        outcome=end.outcome,
        instance=outgoing.instance,
        allotment_left=outgoing.lent_attempts if end.kept_all else 0,
    )
    return AttemptResult(answer=end.answer, verdict=verdict)
