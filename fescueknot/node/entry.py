"""The entry port: calls of callers and of the local target."""

import dataclasses
from http import HTTPStatus

import msgspec

from fescueknot.calls import Outcome
from fescueknot.node import headers, problems, refusals
from fescueknot.node.attempts import AttemptLoop, FinishedCall
from fescueknot.node.call_limiter import CallLimiter, LimiterDecision
from fescueknot.node.connections import CallerGone
from fescueknot.node.downstream_levels import DownstreamLevels
from fescueknot.node.entry_calls import EntryCall, EntryCalls
from fescueknot.node.errors import RefusedError
from fescueknot.node.keyed_forwarder import KeyedForwarder
from fescueknot.node.messages import HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime
from fescueknot.node.service_channels import ServiceChannel, ServiceChannels
from fescueknot.node.spans import SpanWriter


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRunners:
    """The ways from the entry: by key, or to any instance."""

    channels: ServiceChannels
    loop: AttemptLoop
    forwarder: KeyedForwarder


class EntryHandler:
    """Answers requests at the entry port."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        calls: EntryCalls,
        limiter: CallLimiter,
        levels: DownstreamLevels,
        runners: CallRunners,
        spans: SpanWriter,
    ) -> None:
        self._runtime = runtime
        self._calls = calls
        self._limiter = limiter
        self._levels = levels
        self._runners = runners
        self._spans = spans

    def answer(
        self,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Return the answer of a target or a refusal."""
        try:
            call = self._calls.read(request)
        except RefusedError as refusal:
            return problems.to_answer(refusal.problem)
        with self._limiter.acquire(call.context.importance) as decision:
            if decision is LimiterDecision.ACCEPTED:
                finished = self._finish(call, caller_gone)
            else:
                finished = _refused(refusals.by_limiter(decision), call)
        self._calls.end(call, finished.unspent)
        self._spans.entry(call, finished.end, finished.attempts)
        return _for_caller(finished.end.answer)

    def _finish(self, call: EntryCall, caller_gone: CallerGone) -> FinishedCall:
        if call.parent is not None:
            self._levels.record_callee(call.service)
        try:
            channel = self._channel(call)
        except RefusedError as refusal:
            return _refused(refusals.by_problem(refusal.problem), call)
        runner = self._runners.loop
        if call.policy.at_most_once:
            runner = self._runners.forwarder
        return runner.run(call, channel, caller_gone)

    def _channel(self, call: EntryCall) -> ServiceChannel:
        channel = self._runners.channels.find(call.service)
        if channel is None:
            raise _refusal(
                HTTPStatus.NOT_FOUND,
                'Unknown service',
                f'no instance of {call.service} has been announced',
            )
        if self._will_be_shed(call):
            raise _refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'Refused under overload control',
                f'{call.service} sheds this importance class now',
                retry_after_s=self._levels.retry_after_s(
                    call.service,
                    call.context.root_id,
                    self._runtime.now_s(),
                ),
            )
        return channel

    def _will_be_shed(self, call: EntryCall) -> bool:
        if call.parent is not None:
            return False
        return self._levels.refuses(
            call.service,
            call.context.importance,
            call.context.root_id,
            self._runtime.now_s(),
        )


def _refused(end: refusals.CallEnd, call: EntryCall) -> FinishedCall:
    return FinishedCall(end=end, attempts=0, unspent=call.share.attempts)


def _refusal(
    status: HTTPStatus,
    title: str,
    detail: str,
    retry_after_s: float = 0,
) -> RefusedError:
    return RefusedError(
        problem=problems.Problem(
            status=status,
            title=title,
            detail=detail,
            outcome=Outcome.NOT_RUN,
            retry_after_s=retry_after_s,
        ),
    )


def _for_caller(answer: HttpAnswer) -> HttpAnswer:
    kept = headers.end_to_end(answer.headers)
    return msgspec.structs.replace(answer, headers=kept)
