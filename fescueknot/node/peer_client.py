"""Sends a call to the node of an instance, or runs it here."""

import msgspec

from fescueknot.identity import InstanceId
from fescueknot.node import headers, refusals
from fescueknot.node.connections import CallerGone, request_with
from fescueknot.node.envelope import Envelope, EnvelopeCodec
from fescueknot.node.errors import (
    AnswerLostError,
    ConnectFailedError,
    TransportError,
)
from fescueknot.node.failures import RESULT_KINDS
from fescueknot.node.intake import EntryCall
from fescueknot.node.levels_below import LevelsBelow
from fescueknot.node.messages import Header, HttpAnswer
from fescueknot.node.runner import JobRunner
from fescueknot.node.runtime import Runtime
from fescueknot.node.service_channels import ServiceChannel, load_report
from fescueknot.node.tried import Tried
from fescueknot.node.verdicts import Verdict, read_verdict
from fescueknot.routing.messages import CallResult

_MS_PER_S = 1000
# The other node gives up at the deadline; its verdict needs this long.
_VERDICT_MARGIN_S = 0.1


class Sending(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt: where to, the how manyth, and the attempts lent."""

    instance: InstanceId
    attempt: int
    lent: int
    keyed: bool = False


class PeerClient:
    """Hands calls to instances, over HTTP or on this host."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        codec: EnvelopeCodec,
        runner: JobRunner,
        levels: LevelsBelow,
    ) -> None:
        self._runtime = runtime
        self._codec = codec
        self._runner = runner
        self._levels = levels

    def send(
        self,
        sending: Sending,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> Tried:
        """Return the answer of an instance, and learn from it."""
        started_s = self._runtime.now_s()
        if sending.keyed:
            channel.started(sending.instance)
        envelope = self._envelope(sending, call)
        if sending.instance == self._runtime.instance:
            tried = self._locally(sending, envelope, call, caller_gone)
        else:
            tried = self._remotely(
                sending, envelope, call, channel, caller_gone
            )
        self._learn(call, channel, tried.verdict, sending, started_s)
        return tried

    def _locally(
        self,
        sending: Sending,
        envelope: Envelope,
        call: EntryCall,
        caller_gone: CallerGone,
    ) -> Tried:
        answer = self._runner.run(envelope, call.request, caller_gone)
        return _judged(sending, answer)

    def _remotely(
        self,
        sending: Sending,
        envelope: Envelope,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> Tried:
        try:
            answer = self._exchange(
                sending, envelope, call, channel, caller_gone
            )
        except TransportError as error:
            return _failed(sending, error)
        return _judged(sending, answer)

    def _exchange(
        self,
        sending: Sending,
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
        pool = channel.pool(sending.instance)
        if pool is None:
            raise ConnectFailedError('the instance is no longer known')
        return pool.call(
            request_with(request, Header(name=headers.ENVELOPE, text=sealed)),
            deadline_s=call.deadline_s + _VERDICT_MARGIN_S,
            caller_gone=caller_gone,
        )

    def _envelope(self, sending: Sending, call: EntryCall) -> Envelope:
        left_s = max(call.deadline_s - self._runtime.now_s(), 0)
        context = msgspec.structs.replace(
            call.context,
            remaining_ms=int(left_s * _MS_PER_S),
            retry_allotment=sending.lent,
        )
        return Envelope(
            context=context,
            policy=call.policy,
            service=call.service,
            span_id=call.span_id,
            attempt=sending.attempt,
            keyed=sending.keyed,
        )

    def _learn(
        self,
        call: EntryCall,
        channel: ServiceChannel,
        verdict: Verdict,
        sending: Sending,
        started_s: float,
    ) -> None:
        now_s = self._runtime.now_s()
        outcome = CallResult(
            kind=RESULT_KINDS[verdict.kind],
            latency_s=now_s - started_s,
            report=load_report(verdict),
        )
        channel.finished(sending.instance, outcome)
        if verdict.level is not None:
            self._levels.note(call.service, verdict.level, now_s)


def _judged(sending: Sending, answer: HttpAnswer) -> Tried:
    verdict = read_verdict(answer)
    if verdict is None:
        return _failed(sending, AnswerLostError('no verdict'))
    return Tried(answer=answer, verdict=verdict)


def _failed(sending: Sending, error: TransportError) -> Tried:
    """Return the end of a try without an answer.

    A call that was certainly not run has spent nothing of what it was lent.
    """
    done = refusals.by_transport(error)
    verdict = Verdict(
        kind=done.kind,
        outcome=done.outcome,
        instance=sending.instance,
        allotment_left=sending.lent if done.kept_all else 0,
    )
    return Tried(answer=done.answer, verdict=verdict)
