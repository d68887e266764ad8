"""Gate of a single member with its own store evidence."""

import uuid

import pytest

from fescueknot.calls import Outcome
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.idempotency.entry_table import LedgerBounds
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.keys import (
    OperationKey,
    fingerprint,
    operation_key,
)
from fescueknot.idempotency.messages import StoreEvidence
from fescueknot.idempotency.roster_changes import create_roster
from fescueknot.idempotency.terms import Terms
from fescueknot.idempotency.verdicts import (
    Reason,
    Refused,
    Repeat,
    Run,
    Verdict,
)
from fescueknot.identity import InstanceId

TERMS = Terms()
WALL_S = 1_800_000_000.0
INSTANCE = InstanceId(name='inscripcion-1', incarnation=1)
FINGERPRINT = fingerprint(method='POST', path='/entries', body=b'{}')
_VERSION_AND_VARIANT = (7 << 76) + (2 << 62)
ANSWER = StoredAnswer(status=201, body=b'entered')


def timed_key(made_at_wall_s: float, suffix: int = 1) -> OperationKey:
    made_at_ms = int(made_at_wall_s * 1000)
    number = (made_at_ms << 80) + _VERSION_AND_VARIANT + suffix
    text = str(uuid.UUID(int=number))
    return operation_key(service='inscripcion', caller='club', text=text)


class SingleGate:
    """Gate of a single member whose clock the test sets."""

    def __init__(self, bounds: LedgerBounds | None = None) -> None:
        roster = create_roster(service='inscripcion', instance=INSTANCE)
        self.gate = AtMostOnceGate(
            instance=INSTANCE, roster=roster, terms=TERMS, bounds=bounds
        )
        self.now_s = 100.0
        self.renew_lease()

    def renew_lease(self) -> None:
        self.gate.lease.add_evidence(StoreEvidence(version=1, at_s=self.now_s))

    def decide(
        self, key: OperationKey, request_fingerprint: bytes = FINGERPRINT
    ) -> Verdict:
        return self.gate.decide(
            key,
            fingerprint=request_fingerprint,
            now_s=self.now_s,
            wall_s=WALL_S + self.now_s,
        )

    def key(self, suffix: int = 1) -> OperationKey:
        return timed_key(WALL_S + self.now_s, suffix)


def reason_of(verdict: Verdict) -> Reason:
    assert isinstance(verdict, Refused)
    return verdict.reason


class TestSingleGate:
    """Runs, repeats and refusals of a single owner."""

    def test_a_key_runs_once_then_repeats(self) -> None:
        single = SingleGate()
        run = single.decide(single.key())
        assert isinstance(run, Run)
        assert reason_of(single.decide(single.key())) is Reason.STILL_RUNNING
        assert single.gate.finished(run.token, ANSWER)
        assert single.decide(single.key()) == Repeat(answer=ANSWER)

    def test_a_key_with_another_body_is_refused(self) -> None:
        single = SingleGate()
        single.decide(single.key())
        other = fingerprint(method='POST', path='/entries', body=b'{1}')
        assert (
            reason_of(single.decide(single.key(), other)) is Reason.KEY_REUSED
        )

    def test_a_key_that_did_not_run_may_run_again(self) -> None:
        single = SingleGate()
        first = single.decide(single.key())
        assert single.gate.not_run(first.token)
        again = single.decide(single.key())
        assert isinstance(again, Run)
        assert not single.gate.finished(first.token, ANSWER)

    def test_a_lost_answer_is_final_after_expiry(self) -> None:
        single = SingleGate()
        key = single.key()
        run = single.decide(key)
        single.gate.answer_lost(run.token)
        assert reason_of(single.decide(key)) is Reason.STILL_RUNNING
        single.now_s = run.start_by_s
        single.renew_lease()
        assert reason_of(single.decide(key)) is Reason.ANSWER_LOST
        assert single.gate.finished(run.token, ANSWER)
        assert single.decide(key) == Repeat(answer=ANSWER)

    def test_no_key_begins_after_the_lease_expired(self) -> None:
        single = SingleGate()
        single.now_s += TERMS.lease_s
        refused = single.decide(single.key())
        assert reason_of(refused) is Reason.NO_LEASE
        assert refused.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize(
        ('age_s', 'reason', 'outcome'),
        [
            (-TERMS.key_skew_s - 1, Reason.KEY_AHEAD, Outcome.NOT_RUN),
            (TERMS.retention_s + 1, Reason.KEY_TOO_OLD, Outcome.UNKNOWN),
        ],
    )
    def test_keys_outside_the_retention_are_refused(
        self, age_s: float, reason: Reason, outcome: Outcome
    ) -> None:
        single = SingleGate()
        refused = single.decide(timed_key(WALL_S + single.now_s - age_s))
        assert reason_of(refused) is reason
        assert refused.outcome is outcome

    def test_a_full_ledger_refuses_new_keys(self) -> None:
        single = SingleGate(LedgerBounds(entries=2))
        first = single.decide(single.key(suffix=1))
        single.gate.finished(first.token, ANSWER)
        single.decide(single.key(suffix=2))
        refused = single.decide(single.key(suffix=3))
        assert reason_of(refused) is Reason.LEDGER_FULL
        assert refused.outcome is Outcome.NOT_RUN
        assert single.decide(single.key(suffix=1)) == Repeat(answer=ANSWER)

    def test_a_key_with_a_too_large_answer_counts_as_run(self) -> None:
        single = SingleGate(LedgerBounds(answer_bytes=100))
        run = single.decide(single.key())
        large = StoredAnswer(status=200, body=bytes(99))
        single.gate.finished(run.token, large)
        refused = single.decide(single.key())
        assert reason_of(refused) is Reason.ANSWER_TOO_LARGE
        assert refused.outcome is Outcome.RUN

    def test_entries_are_evicted_after_the_retention_time(self) -> None:
        single = SingleGate()
        single.decide(single.key())
        single.now_s += TERMS.entry_retention_s + 120
        single.renew_lease()
        single.decide(single.key(suffix=2))
        assert len(single.gate.ledger) == 1
