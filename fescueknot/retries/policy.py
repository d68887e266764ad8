"""Whether a failed attempt is tried again, and when."""

import enum
import random
import types

import msgspec

from fescueknot.calls import CallPolicy, Outcome
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.retries.backoff import Backoff
from fescueknot.retries.budget import RetryBudget


class FailureKind(enum.StrEnum):
    """How an attempt failed.

    ``REFUSED``: the node of the target shed it. ``SHED``: the service sheds
    this rank everywhere. ``UNREACHABLE``: no connection.
    ``BROKEN``: the connection ended or went silent with the request sent.
    ``TIMEOUT``: no answer in time. ``FAILED``: the target answered an error.
    """

    REFUSED = 'refused'
    SHED = 'level'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    FAILED = 'failed'


class GiveUpReason(enum.StrEnum):
    """Why there is no further attempt."""

    USELESS = 'a further attempt would fare the same'
    MAY_HAVE_RUN = 'it may have run and is not idempotent'
    DEADLINE = 'no time left'
    ALLOTMENT = 'the allotment of the root request is spent'
    BUDGET = 'the retry budget of the node is spent'


class FailedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A failed attempt.

    ``attempts`` counts those made for this call so far. ``remaining_s`` is
    the time until the deadline, ``needed_s`` what an attempt usually takes.
    """

    kind: FailureKind
    outcome: Outcome
    attempts: int
    remaining_s: float
    needed_s: float = 0


class RetryAfter(msgspec.Struct, frozen=True, kw_only=True):
    """Try again after a wait."""

    wait_s: float


class GiveUp(msgspec.Struct, frozen=True, kw_only=True):
    """Answer the caller now."""

    reason: GiveUpReason


_WORTH_RETRY = types.MappingProxyType(
    {
        FailureKind.REFUSED: True,
        FailureKind.SHED: False,
        FailureKind.UNREACHABLE: True,
        FailureKind.BROKEN: True,
        FailureKind.TIMEOUT: False,
        FailureKind.FAILED: False,
    }
)


class RetryPolicy:
    """The rules for one called service on one node."""

    def __init__(
        self,
        *,
        budget: RetryBudget | None = None,
        backoff: Backoff | None = None,
    ) -> None:
        self._budget = budget or RetryBudget()
        self._backoff = backoff or Backoff()

    def first_attempt(self) -> None:
        """Count the first attempt of a call."""
        self._budget.earn()

    def decide(
        self,
        policy: CallPolicy,
        attempt: FailedAttempt,
        allotment: RetryAllotment,
        rng: random.Random,
    ) -> RetryAfter | GiveUp:
        """Decide, and on ``RetryAfter`` pay for the further attempt."""
        wait_s = self._backoff.wait_s(attempt.attempts, rng)
        reason = self._objection(policy, attempt, wait_s)
        if reason is not None:
            return GiveUp(reason=reason)
        if allotment.held == 0:
            return GiveUp(reason=GiveUpReason.ALLOTMENT)
        if not self._budget.spend():
            return GiveUp(reason=GiveUpReason.BUDGET)
        allotment.spend()
        return RetryAfter(wait_s=wait_s)

    def _objection(
        self, policy: CallPolicy, attempt: FailedAttempt, wait_s: float
    ) -> GiveUpReason | None:
        if not _WORTH_RETRY[attempt.kind]:
            return GiveUpReason.USELESS
        repeatable = policy.idempotent and not policy.at_most_once
        if attempt.outcome is not Outcome.NOT_RUN and not repeatable:
            return GiveUpReason.MAY_HAVE_RUN
        if wait_s + attempt.needed_s >= attempt.remaining_s:
            return GiveUpReason.DEADLINE
        return None
