"""Retry policy, retry budget and the filter for repeated requests."""

import itertools

import pytest

from fescueknot.calls import CallPolicy, Outcome
from fescueknot.randomness import seeded
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.retries.backoff import Backoff
from fescueknot.retries.budget import BudgetSettings, RetryBudget
from fescueknot.retries.hard import (
    FirstSeen,
    HardRetryFilter,
    Repeated,
    recognition_key,
)
from fescueknot.retries.policy import (
    FailedAttempt,
    FailureKind,
    GiveUp,
    GiveUpReason,
    RetryAfter,
    RetryPolicy,
)

_NEAR_ZERO_S = 0.2
_IDEMPOTENT = CallPolicy(idempotent=True)
_PAYMENT = CallPolicy(at_most_once=True)


def _decide(policy, kind, outcome, extra=1, **changes):
    attempt = FailedAttempt(
        kind=kind,
        outcome=outcome,
        attempts=1,
        remaining_s=changes.get('remaining_s', 1),
    )
    return RetryPolicy().decide(
        policy, attempt, RetryAllotment(attempts=extra), seeded(seed=1)
    )


class TestDecision:
    """Which failed attempts are retried."""

    @pytest.mark.parametrize(
        ('kind', 'outcome'),
        list(itertools.product(FailureKind, [Outcome.RUN, Outcome.UNKNOWN])),
    )
    @pytest.mark.parametrize(
        'policy',
        [
            CallPolicy(),
            _PAYMENT,
            CallPolicy(idempotent=True, at_most_once=True),
        ],
    )
    def test_call_that_may_have_run_is_not_retried(self, policy, kind, outcome):
        assert isinstance(_decide(policy, kind, outcome), GiveUp)

    @pytest.mark.parametrize(
        ('policy', 'kind', 'outcome'),
        [
            (_PAYMENT, FailureKind.REFUSED, Outcome.NOT_RUN),
            (_PAYMENT, FailureKind.UNREACHABLE, Outcome.NOT_RUN),
            (_IDEMPOTENT, FailureKind.BROKEN, Outcome.UNKNOWN),
        ],
    )
    def test_retryable_failure_is_retried(self, policy, kind, outcome):
        assert isinstance(_decide(policy, kind, outcome), RetryAfter)

    @pytest.mark.parametrize(
        ('changes', 'reason'),
        [
            ({'extra': 0}, GiveUpReason.ALLOTMENT),
            ({'remaining_s': 0}, GiveUpReason.DEADLINE),
        ],
    )
    def test_spent_allotment_or_deadline_prevents_a_retry(
        self, changes, reason
    ):
        decision = _decide(
            _IDEMPOTENT, FailureKind.REFUSED, Outcome.NOT_RUN, **changes
        )
        assert decision == GiveUp(reason=reason)

    def test_back_off_uses_full_jitter(self):
        backoff = Backoff(base_s=1, factor=2, max_s=4)
        rng = seeded(seed=2)
        waits_s = [backoff.wait_s(9, rng) for _ in range(400)]
        assert min(waits_s) < _NEAR_ZERO_S
        assert 4 - _NEAR_ZERO_S < max(waits_s) <= 4


class TestBudget:
    """Ratio of retries to first attempts."""

    def test_retries_are_bounded_by_the_ratio(self):
        settings = BudgetSettings(ratio=0.1, max_tokens=5, initial_tokens=5)
        budget = RetryBudget(settings=settings)
        retries = 0
        for _ in range(1000):
            budget.earn()
            retries += budget.spend()
        assert retries <= 0.1 * 1000 + 5


class TestHardRetryFilter:
    """Repeats of a request cost at most one admission."""

    def test_repeats_of_a_request_in_progress_are_answered(self):
        retry_filter = HardRetryFilter()
        key = recognition_key('club', 'k1', 'f')
        assert isinstance(retry_filter.check(key, 10, 0), FirstSeen)
        for step in range(1, 50):
            assert isinstance(retry_filter.check(key, 10, step / 10), Repeated)

    def test_repeat_before_retry_after_is_answered(self):
        retry_filter = HardRetryFilter()
        retry_filter.check('key', 10, 0)
        retry_filter.refused('key', 2, 0)
        early = retry_filter.check('key', 10, 0.5)
        assert early.retry_after_s == pytest.approx(1.5)
        assert isinstance(retry_filter.check('key', 10, 2), FirstSeen)

    def test_number_of_records_is_bounded(self):
        retry_filter = HardRetryFilter(most_entries=2)
        for key in ('a', 'b', 'c'):
            retry_filter.check(key, 10, 0)
        assert isinstance(retry_filter.check('a', 10, 0), FirstSeen)
        assert isinstance(retry_filter.check('c', 10, 0), Repeated)
