"""Answers of a node for calls that got no answer of the target."""

import types
from http import HTTPStatus

import msgspec

from fescueknot.admission.messages import RefusalReason, Refuse
from fescueknot.calls import Outcome
from fescueknot.identity import InstanceId
from fescueknot.node import problems
from fescueknot.node.call_limiter import LimiterDecision
from fescueknot.node.errors import TransportError
from fescueknot.node.failures import VERDICT_KINDS
from fescueknot.node.messages import HttpAnswer
from fescueknot.node.verdicts import VerdictKind
from fescueknot.routing.messages import NoTarget

_RETRY_AFTER_S = 1.0


class CallEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call on this node, with or without the target's answer.

    ``unspent`` are extra attempts that the target's own calls left over,
    ``retry_after_s`` when a refused caller was told to come back.
    """

    kind: VerdictKind
    outcome: Outcome
    answer: HttpAnswer
    owner: InstanceId | None = None
    unspent: int = 0
    retry_after_s: float = 0

    @property
    def kept_all(self) -> bool:
        """Tell whether no extra attempt can have been spent."""
        return self.outcome is Outcome.NOT_RUN


_LIMITER_REASONS = types.MappingProxyType(
    {
        LimiterDecision.FULL: 'all threads of this instance are busy',
        LimiterDecision.CLOSED: 'this instance is leaving',
    }
)


def by_limiter(decision: LimiterDecision) -> CallEnd:
    """Return the refusal of an instance that takes no further call."""
    return _refusal(
        VerdictKind.REFUSED,
        _LIMITER_REASONS[decision],
        _RETRY_AFTER_S,
    )


def key_by_limiter(decision: LimiterDecision) -> CallEnd:
    """Return the refusal of a key whose owner takes no further call.

    Earlier attempts with the key may have run.
    """
    return _key_refusal(VerdictKind.KEY_REFUSED, _LIMITER_REASONS[decision])


def no_owner() -> CallEnd:
    """Return the refusal of a key that nobody owns yet."""
    return _key_refusal(VerdictKind.KEY_REFUSED, 'nobody owns the key yet')


def other_owner(owner: InstanceId) -> CallEnd:
    """Return the refusal of a node that does not own the key."""
    end = _key_refusal(VerdictKind.OTHER_OWNER, 'the owner has changed')
    return msgspec.structs.replace(end, owner=owner)


def too_early(retry_after_s: float) -> CallEnd:
    """Return the refusal of a key that came back before its time."""
    return _refusal(
        VerdictKind.REFUSED,
        'it was told to come back later',
        retry_after_s,
    )


def too_late() -> CallEnd:
    """Return the refusal of a call that may not start any more."""
    return _refusal(
        VerdictKind.REFUSED,
        'it could not start in time',
        _RETRY_AFTER_S,
    )


def caller_gone() -> CallEnd:
    """Return the refusal of a call whose caller left the line."""
    return _refusal(VerdictKind.GONE, 'the caller went away', 0)


def by_admission(decision: Refuse) -> CallEnd:
    """Return the refusal that the admission gate decided."""
    kind = VerdictKind.REFUSED
    if decision.reason is RefusalReason.LEVEL:
        kind = VerdictKind.SHED
    return _refusal(kind, decision.reason.value, decision.retry_after_s)


def by_transport(error: TransportError) -> CallEnd:
    """Return what follows from a call without a whole answer."""
    kind = VERDICT_KINDS[type(error)]
    problem = problems.of_failure(kind.value, error.outcome)
    return CallEnd(
        kind=kind,
        outcome=error.outcome,
        answer=problems.to_answer(problem),
    )


def no_target(nothing: NoTarget) -> CallEnd:
    """Return the refusal of a call that no instance can take."""
    return _refusal(
        VerdictKind.SHED,
        nothing.reason.value,
        _RETRY_AFTER_S,
    )


def by_problem(problem: problems.Problem) -> CallEnd:
    """Return the refusal of a call at its entry."""
    return CallEnd(
        kind=VerdictKind.SHED,
        outcome=problem.outcome,
        answer=problems.to_answer(problem),
    )


def _key_refusal(kind: VerdictKind, reason: str) -> CallEnd:
    problem = problems.Problem(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        title='At most once: the key can not be run now',
        detail=f'{reason}; send the same key again',
        outcome=Outcome.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )
    return CallEnd(
        kind=kind,
        outcome=Outcome.UNKNOWN,
        answer=problems.to_answer(problem),
    )


def _refusal(
    kind: VerdictKind,
    reason: str,
    retry_after_s: float,
) -> CallEnd:
    problem = problems.Problem(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        title='Refused under overload control',
        detail=reason,
        outcome=Outcome.NOT_RUN,
        retry_after_s=retry_after_s,
    )
    return CallEnd(
        kind=kind,
        outcome=Outcome.NOT_RUN,
        answer=problems.to_answer(problem),
        retry_after_s=retry_after_s,
    )
