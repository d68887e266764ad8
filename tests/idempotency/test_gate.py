"""The gate by itself: one member, direct evidence."""

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
ALONE = InstanceId(name='inscripcion-1', incarnation=1)
PRINT = fingerprint(method='POST', path='/entries', body=b'{}')
_VERSION_AND_VARIANT = (7 << 76) + (2 << 62)
ANSWER = StoredAnswer(status=201, body=b'entered')


def timed_key(made_at_wall_s: float, tail: int = 1) -> OperationKey:
    made_at_ms = int(made_at_wall_s * 1000)
    number = (made_at_ms << 80) + _VERSION_AND_VARIANT + tail
    text = str(uuid.UUID(int=number))
    return operation_key(service='inscripcion', caller='club', text=text)


class LoneGate:
    """A gate whose time stands still until it is told otherwise."""

    def __init__(self, bounds: LedgerBounds | None = None) -> None:
        roster = create_roster(service='inscripcion', instance=ALONE)
        self.gate = AtMostOnceGate(
            instance=ALONE, roster=roster, terms=TERMS, bounds=bounds
        )
        self.now_s = 100.0
        self.read_store()

    def read_store(self) -> None:
        self.gate.lease.add_evidence(StoreEvidence(version=1, at_s=self.now_s))

    def ask(self, key: OperationKey, print_: bytes = PRINT) -> Verdict:
        return self.gate.decide(
            key,
            fingerprint=print_,
            now_s=self.now_s,
            wall_s=WALL_S + self.now_s,
        )

    def key(self, tail: int = 1) -> OperationKey:
        return timed_key(WALL_S + self.now_s, tail)


def reason_of(verdict: Verdict) -> Reason:
    assert isinstance(verdict, Refused)
    return verdict.reason


class TestLoneGate:
    """Runs, repeats and refusals of one owner."""

    def test_a_key_runs_once_then_repeats(self) -> None:
        lone = LoneGate()
        run = lone.ask(lone.key())
        assert isinstance(run, Run)
        assert reason_of(lone.ask(lone.key())) is Reason.STILL_RUNNING
        assert lone.gate.finished(run.token, ANSWER)
        assert lone.ask(lone.key()) == Repeat(answer=ANSWER)

    def test_another_body_is_not_run(self) -> None:
        lone = LoneGate()
        lone.ask(lone.key())
        other = fingerprint(method='POST', path='/entries', body=b'{1}')
        assert reason_of(lone.ask(lone.key(), other)) is Reason.KEY_REUSED

    def test_a_certain_refusal_frees_the_key(self) -> None:
        lone = LoneGate()
        first = lone.ask(lone.key())
        assert lone.gate.not_run(first.token)
        again = lone.ask(lone.key())
        assert isinstance(again, Run)
        assert not lone.gate.finished(first.token, ANSWER)

    def test_a_lost_answer_is_final_after_expiry(self) -> None:
        lone = LoneGate()
        key = lone.key()
        run = lone.ask(key)
        lone.gate.answer_lost(run.token)
        assert reason_of(lone.ask(key)) is Reason.STILL_RUNNING
        lone.now_s = run.start_by_s
        lone.read_store()
        assert reason_of(lone.ask(key)) is Reason.ANSWER_LOST
        assert lone.gate.finished(run.token, ANSWER)
        assert lone.ask(key) == Repeat(answer=ANSWER)

    def test_without_fresh_evidence_nothing_new_runs(self) -> None:
        lone = LoneGate()
        lone.now_s += TERMS.lease_s
        refused = lone.ask(lone.key())
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
        lone = LoneGate()
        refused = lone.ask(timed_key(WALL_S + lone.now_s - age_s))
        assert reason_of(refused) is reason
        assert refused.outcome is outcome

    def test_a_full_ledger_refuses_new_keys(self) -> None:
        lone = LoneGate(LedgerBounds(entries=2))
        first = lone.ask(lone.key(tail=1))
        lone.gate.finished(first.token, ANSWER)
        lone.ask(lone.key(tail=2))
        refused = lone.ask(lone.key(tail=3))
        assert reason_of(refused) is Reason.LEDGER_FULL
        assert refused.outcome is Outcome.NOT_RUN
        assert lone.ask(lone.key(tail=1)) == Repeat(answer=ANSWER)

    def test_a_large_answer_leaves_the_fact(self) -> None:
        lone = LoneGate(LedgerBounds(answer_bytes=100))
        run = lone.ask(lone.key())
        large = StoredAnswer(status=200, body=bytes(99))
        lone.gate.finished(run.token, large)
        refused = lone.ask(lone.key())
        assert reason_of(refused) is Reason.ANSWER_TOO_LARGE
        assert refused.outcome is Outcome.RUN

    def test_entries_end_with_the_memory_term(self) -> None:
        lone = LoneGate()
        lone.ask(lone.key())
        lone.now_s += TERMS.memory_s + 120
        lone.read_store()
        lone.ask(lone.key(tail=2))
        assert len(lone.gate.ledger) == 1
