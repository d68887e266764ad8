"""What a request that enters the layer is, and under which rule it runs."""

from http import HTTPStatus

import msgspec

from fescueknot.calls import CallContext, CallPolicy, Outcome
from fescueknot.node import headers
from fescueknot.node.errors import RefusedError
from fescueknot.node.messages import HttpRequest
from fescueknot.node.parent_calls import ParentCall, ParentCalls
from fescueknot.node.problems import Problem
from fescueknot.node.rules_task import RulesTask
from fescueknot.node.runtime import Runtime
from fescueknot.retries.allotment import AllotmentShare
from fescueknot.telemetry import traceparent
from fescueknot.telemetry.errors import TraceparentError

_MS_PER_S = 1000
_ROOT_ALLOTMENT = 3
_ROOT_DEPTH = 0
_MAX_DEPTH = 32
_MAX_KEY_CHARACTERS = 255
_STARTING_RETRY_AFTER_S = 1.0


class EntryCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request at its entry into the layer.

    ``span_id`` is the span of the entry hop, ``parent`` the call in whose
    course the local target made this one, ``share`` the extra attempts lent
    to it.
    """

    request: HttpRequest
    service: str
    key: str
    policy: CallPolicy
    context: CallContext
    span_id: str
    parent_span_id: str
    deadline_s: float
    started_s: float
    share: AllotmentShare
    parent: ParentCall | None = None


class EntryCalls:
    """Reads requests at the entry port."""

    def __init__(
        self,
        *,
        rules: RulesTask,
        parents: ParentCalls,
        runtime: Runtime,
    ) -> None:
        self._rules = rules
        self._parents = parents
        self._runtime = runtime

    def read(self, request: HttpRequest) -> EntryCall:
        """Return the call; raise :class:`RefusedError` for a bad request."""
        service = self._service(request)
        path = request.path.partition('?')[0]
        if not self._rules.is_ready(self._runtime.now_s()):
            raise _no_rules()
        policy = self._rules.match(service, request.method, path)
        key = _checked_key(request, policy)
        trace = self._trace(request)
        parent = self._parents.find(trace.span_id)
        timeout_ms = _timeout_ms(request, policy)
        now_s = self._runtime.now_s()
        deadline_s = now_s + timeout_ms / _MS_PER_S
        if parent is not None:
            deadline_s = min(deadline_s, parent.deadline_s)
        return EntryCall(
            request=request,
            service=service,
            key=key,
            policy=policy,
            context=_context(request, policy, trace, parent),
            span_id=traceparent.new_span_id(self._runtime.rng),
            parent_span_id=trace.span_id,
            deadline_s=deadline_s,
            started_s=now_s,
            share=self._share(parent),
            parent=parent,
        )

    def end(self, call: EntryCall, unspent: int) -> None:
        """Hand unspent extra attempts back to the parent."""
        if call.parent is not None:
            self._parents.child_done(
                call.parent.span_id,
                AllotmentShare(attempts=unspent),
                self._runtime.now_s() - call.started_s,
            )

    def _service(self, request: HttpRequest) -> str:
        host = request.header('host').partition(':')[0]
        label = host.partition('.')[0]
        if not label or label.isdigit():
            return self._runtime.service
        return label

    def _trace(self, request: HttpRequest) -> traceparent.TraceContext:
        text = request.header(headers.TRACEPARENT)
        if text:
            try:
                return traceparent.parse(text)
            except TraceparentError:
                return traceparent.start_trace(self._runtime.rng)
        return traceparent.start_trace(self._runtime.rng)

    def _share(self, parent: ParentCall | None) -> AllotmentShare:
        if parent is None:
            return AllotmentShare(attempts=_ROOT_ALLOTMENT)
        return self._parents.lend(parent.span_id)


def _context(
    request: HttpRequest,
    policy: CallPolicy,
    trace: traceparent.TraceContext,
    parent: ParentCall | None,
) -> CallContext:
    if parent is None:
        return CallContext(
            root_id=trace.trace_id,
            caller=request.sender,
            importance=policy.importance,
            depth=_ROOT_DEPTH,
        )
    if parent.context.depth >= _MAX_DEPTH:
        raise _bad_request(
            HTTPStatus.LOOP_DETECTED,
            f'the call chain is deeper than {_MAX_DEPTH}',
        )
    return CallContext(
        root_id=parent.context.root_id,
        caller=parent.context.caller,
        importance=min(parent.context.importance, policy.importance),
        depth=parent.context.depth + 1,
    )


def _timeout_ms(request: HttpRequest, policy: CallPolicy) -> int:
    text = request.header(headers.TIMEOUT_MS)
    if not text:
        return policy.deadline_ms
    if not text.isdecimal() or int(text) == 0:
        raise _bad_request(
            HTTPStatus.BAD_REQUEST,
            f'{headers.TIMEOUT_MS} must be a positive whole number',
        )
    return min(int(text), policy.deadline_ms)


def _checked_key(request: HttpRequest, policy: CallPolicy) -> str:
    key = headers.idempotency_key(request)
    if not policy.at_most_once:
        return key
    if not key:
        raise _bad_request(
            HTTPStatus.BAD_REQUEST,
            f'{policy.rule} needs the header {headers.IDEMPOTENCY_KEY}',
        )
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable():
        raise _bad_request(
            HTTPStatus.BAD_REQUEST,
            f'{headers.IDEMPOTENCY_KEY} must be printable and at most '
            + f'{_MAX_KEY_CHARACTERS} characters long',
        )
    return key


def _no_rules() -> RefusedError:
    return RefusedError(
        problem=Problem(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            title='This node is starting',
            detail='it has not learned the rules in force yet',
            outcome=Outcome.NOT_RUN,
            retry_after_s=_STARTING_RETRY_AFTER_S,
        ),
    )


def _bad_request(status: HTTPStatus, detail: str) -> RefusedError:
    return RefusedError(
        problem=Problem(
            status=status,
            title='The request was not understood',
            detail=detail,
            outcome=Outcome.NOT_RUN,
        ),
    )
