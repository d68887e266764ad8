"""Whether and when a failed attempt is retried."""

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

    ``REFUSED``: the node of the target refused it. ``SHED``: all instances of
    the service shed this rank. ``UNREACHABLE``: no connection.
    ``BROKEN``: the connection was closed or became unresponsive after the
    request was sent. ``TIMEOUT``: no answer in time. ``FAILED``: the target
    answered with an error.
    """

    REFUSED = 'refused'
    SHED = 'level'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    FAILED = 'failed'


class GiveUpReason(enum.StrEnum):
    """Why a failed attempt is not retried."""

    NOT_RETRYABLE = 'a further attempt would fare the same'
    MAY_HAVE_RUN = 'it may have run and is not idempotent'
    DEADLINE = 'no time left'
    ALLOTMENT = 'the allotment of the root request is spent'
    BUDGET = 'the retry budget of the node is spent'


class FailedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A failed attempt.

    ``attempts`` is the number of attempts made for this call, this one
    included. ``remaining_s`` is the time until the deadline,
    ``expected_duration_s`` the usual duration of an attempt.
    """

    kind: FailureKind
    outcome: Outcome
    attempts: int
    remaining_s: float
    expected_duration_s: float = 0


class RetryAfter(msgspec.Struct, frozen=True, kw_only=True):
    """Retry after ``wait_s`` seconds."""

    wait_s: float


class GiveUp(msgspec.Struct, frozen=True, kw_only=True):
    """Do not retry; answer the caller now."""

    reason: GiveUpReason


_IS_RETRYABLE = types.MappingProxyType(
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
    """Decides on retries to one called service; one per node."""

    def __init__(
        self,
        *,
        budget: RetryBudget | None = None,
        backoff: Backoff | None = None,
    ) -> None:
        self._budget = budget or RetryBudget()
        self._backoff = backoff or Backoff()

    def first_attempt(self) -> None:
        """Record the first attempt of a call in the retry budget."""
        self._budget.earn()

    def decide(
        self,
        policy: CallPolicy,
        attempt: FailedAttempt,
        allotment: RetryAllotment,
        rng: random.Random,
    ) -> RetryAfter | GiveUp:
        """Return whether to retry; spend one extra attempt if so.

        A retry also costs a token of the retry budget.
        """
        wait_s = self._backoff.wait_s(attempt.attempts, rng)
        reason = self._give_up_reason(policy, attempt, wait_s)
        if reason is not None:
            return GiveUp(reason=reason)
        if allotment.held == 0:
            return GiveUp(reason=GiveUpReason.ALLOTMENT)
        if not self._budget.spend():
            return GiveUp(reason=GiveUpReason.BUDGET)
        allotment.spend()
        return RetryAfter(wait_s=wait_s)

    def _give_up_reason(
        self, policy: CallPolicy, attempt: FailedAttempt, wait_s: float
    ) -> GiveUpReason | None:
        if not _IS_RETRYABLE[attempt.kind]:
            return GiveUpReason.NOT_RETRYABLE
        may_run_again = policy.idempotent and not policy.at_most_once
        if attempt.outcome is not Outcome.NOT_RUN and not may_run_again:
            return GiveUpReason.MAY_HAVE_RUN
        if wait_s + attempt.expected_duration_s >= attempt.remaining_s:
            return GiveUpReason.DEADLINE
        return None
