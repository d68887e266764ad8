"""Which failures are tried again, and hard-retrying clients."""

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
    """What may be tried again."""

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
    def test_never_what_may_have_run(self, policy, kind, outcome):
        assert isinstance(_decide(policy, kind, outcome), GiveUp)

    @pytest.mark.parametrize(
        ('policy', 'kind', 'outcome'),
        [
            (_PAYMENT, FailureKind.REFUSED, Outcome.NOT_RUN),
            (_PAYMENT, FailureKind.UNREACHABLE, Outcome.NOT_RUN),
            (_IDEMPOTENT, FailureKind.BROKEN, Outcome.UNKNOWN),
        ],
    )
    def test_tried_again(self, policy, kind, outcome):
        assert isinstance(_decide(policy, kind, outcome), RetryAfter)

    @pytest.mark.parametrize(
        ('changes', 'reason'),
        [
            ({'extra': 0}, GiveUpReason.ALLOTMENT),
            ({'remaining_s': 0}, GiveUpReason.DEADLINE),
        ],
    )
    def test_nothing_left(self, changes, reason):
        decision = _decide(
            _IDEMPOTENT, FailureKind.REFUSED, Outcome.NOT_RUN, **changes
        )
        assert decision == GiveUp(reason=reason)

    def test_back_off_is_full_jitter(self):
        backoff = Backoff(first_s=1, factor=2, longest_s=4)
        rng = seeded(seed=2)
        waits_s = [backoff.wait_s(9, rng) for _ in range(400)]
        assert min(waits_s) < _NEAR_ZERO_S
        assert 4 - _NEAR_ZERO_S < max(waits_s) <= 4


class TestBudget:
    """Retries against first attempts."""

    def test_a_storm_is_cut_to_the_ratio(self):
        settings = BudgetSettings(ratio=0.1, max_tokens=5, initial_tokens=5)
        budget = RetryBudget(settings=settings)
        retries = 0
        for _ in range(1000):
            budget.earn()
            retries += budget.spend()
        assert retries <= 0.1 * 1000 + 5


class TestHardRetries:
    """A client that repeats costs one admission at most."""

    def test_repetitions_in_progress_are_answered(self):
        seen = HardRetryFilter()
        key = recognition_key('club', 'k1', 'f')
        assert isinstance(seen.check(key, 10, 0), FirstSeen)
        for step in range(1, 50):
            assert isinstance(seen.check(key, 10, step / 10), Repeated)

    def test_a_refused_client_is_held_until_its_time(self):
        seen = HardRetryFilter()
        seen.check('key', 10, 0)
        seen.refused('key', 2, 0)
        early = seen.check('key', 10, 0.5)
        assert early.retry_after_s == pytest.approx(1.5)
        assert isinstance(seen.check('key', 10, 2), FirstSeen)

    def test_memory_is_bounded(self):
        seen = HardRetryFilter(most_entries=2)
        for key in ('a', 'b', 'c'):
            seen.check(key, 10, 0)
        assert isinstance(seen.check('a', 10, 0), FirstSeen)
        assert isinstance(seen.check('c', 10, 0), Repeated)
