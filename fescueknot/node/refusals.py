"""Answers by the node itself to calls without an answer of the target."""

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

    ``unspent`` is the number of extra attempts that the target's downstream
    calls left over, ``retry_after_s`` the Retry-After of a refusal.
    """

    kind: VerdictKind
    outcome: Outcome
    answer: HttpAnswer
    owner: InstanceId | None = None
    unspent: int = 0
    retry_after_s: float = 0

    @property
    def spent_no_attempts(self) -> bool:
        """Return whether no extra attempt can have been spent."""
        return self.outcome is Outcome.NOT_RUN


_LIMITER_REASONS = types.MappingProxyType(
    {
        LimiterDecision.FULL: 'all threads of this instance are busy',
        LimiterDecision.CLOSED: 'this instance is leaving',
    }
)


def by_limiter(decision: LimiterDecision) -> CallEnd:
    """Return the refusal of a call that the limiter did not accept."""
    return _refusal(
        VerdictKind.REFUSED,
        _LIMITER_REASONS[decision],
        _RETRY_AFTER_S,
    )


def key_by_limiter(decision: LimiterDecision) -> CallEnd:
    """Return the refusal of a key that its owner's limiter did not accept.

    Earlier attempts with the key may have run.
    """
    return _key_refusal(VerdictKind.KEY_REFUSED, _LIMITER_REASONS[decision])


def no_owner() -> CallEnd:
    """Return the refusal of a key that has no owner yet."""
    return _key_refusal(VerdictKind.KEY_REFUSED, 'nobody owns the key yet')


def other_owner(owner: InstanceId) -> CallEnd:
    """Return the refusal of a node that is not the owner of the key."""
    end = _key_refusal(VerdictKind.OTHER_OWNER, 'the owner has changed')
    return msgspec.structs.replace(end, owner=owner)


def too_early(retry_after_s: float) -> CallEnd:
    """Return the refusal of a key before its Retry-After has passed."""
    return _refusal(
        VerdictKind.REFUSED,
        'it was told to come back later',
        retry_after_s,
    )


def too_late() -> CallEnd:
    """Return the refusal of a call whose latest start time has passed."""
    return _refusal(
        VerdictKind.REFUSED,
        'it could not start in time',
        _RETRY_AFTER_S,
    )


def caller_gone() -> CallEnd:
    """Return the refusal of a queued call whose caller disconnected."""
    return _refusal(VerdictKind.CALLER_GONE, 'the caller went away', 0)


def by_admission(decision: Refuse) -> CallEnd:
    """Return the refusal for a decision of the admission gate."""
    kind = VerdictKind.REFUSED
    if decision.reason is RefusalReason.LEVEL:
        kind = VerdictKind.SHED
    return _refusal(kind, decision.reason.value, decision.retry_after_s)


def by_transport(error: TransportError) -> CallEnd:
    """Return the end of a call without a complete answer."""
    kind = VERDICT_KINDS[type(error)]
    problem = problems.for_failure(kind.value, error.outcome)
    return CallEnd(
        kind=kind,
        outcome=error.outcome,
        answer=problems.to_answer(problem),
    )


def no_target(result: NoTarget) -> CallEnd:
    """Return the refusal of a call for which no instance was picked."""
    return _refusal(
        VerdictKind.SHED,
        result.reason.value,
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
