"""Refusals as problem details (RFC 9457).

Each states in ``outcome`` whether the work of the request was done: "not
run", "run" or "unknown". The statement must be true.
"""

import math
import types
from http import HTTPStatus

import msgspec

from fescueknot.calls import Outcome
from fescueknot.node import headers
from fescueknot.node.messages import Header, HttpAnswer

_CONTENT_TYPE = 'application/problem+json'


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request got no answer of a target.

    ``retry_after_s`` of zero means that a retry does not help.
    """

    status: HTTPStatus
    title: str
    detail: str
    outcome: Outcome
    retry_after_s: float = 0


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    type: str
    title: str
    status: int
    detail: str
    outcome: str
    retry_after_s: float


def to_answer(problem: Problem) -> HttpAnswer:
    """Return the problem as an HTTP answer."""
    body = _Body(
        type='about:blank',
        title=problem.title,
        status=int(problem.status),
        detail=problem.detail,
        outcome=problem.outcome.value,
        retry_after_s=round(problem.retry_after_s, 3),
    )
    fields = [Header(name=headers.CONTENT_TYPE, text=_CONTENT_TYPE)]
    if problem.retry_after_s > 0:
        seconds = str(math.ceil(problem.retry_after_s))
        fields.append(Header(name=headers.RETRY_AFTER, text=seconds))
    return HttpAnswer(
        status=int(problem.status),
        reason=problem.status.phrase,
        headers=tuple(fields),
        body=msgspec.json.encode(body),
    )


_FAILURE_TITLES = types.MappingProxyType(
    {
        'unreachable': 'The target could not be reached',
        'timeout': 'The target did not answer in time',
        'broken': 'The answer of the target was lost',
        'caller gone': 'The caller closed its connection',
    }
)
_FAILURE_STATUSES = types.MappingProxyType(
    {
        'unreachable': HTTPStatus.SERVICE_UNAVAILABLE,
        'timeout': HTTPStatus.GATEWAY_TIMEOUT,
        'broken': HTTPStatus.BAD_GATEWAY,
        'caller gone': HTTPStatus.BAD_GATEWAY,
    }
)
_FAILURE_RETRY_AFTER_S = 1.0


def for_failure(kind: str, outcome: Outcome) -> Problem:
    """Return the problem for a call that got no complete answer.

    ``kind`` is "unreachable", "timeout", "broken" or "caller gone".
    """
    return Problem(
        status=_FAILURE_STATUSES[kind],
        title=_FAILURE_TITLES[kind],
        detail=f'the work is: {outcome.value}',
        outcome=outcome,
        retry_after_s=_FAILURE_RETRY_AFTER_S,
    )


def with_outcome(answer: HttpAnswer, outcome: Outcome) -> HttpAnswer:
    """Return a refusal with ``outcome`` in it; other answers unchanged.

    An earlier attempt may have run although the last attempt did not.
    """
    if answer.header(headers.CONTENT_TYPE) != _CONTENT_TYPE:
        return answer
    body = msgspec.json.decode(answer.body, type=_Body)
    stated = msgspec.structs.replace(body, outcome=outcome.value)
    return msgspec.structs.replace(answer, body=msgspec.json.encode(stated))
