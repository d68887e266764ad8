"""Keys that come back before they were told to cost no admission."""

import pytest

from fescueknot.calls import Outcome
from fescueknot.clock import ManualClock
from fescueknot.idempotency.verdicts import RunToken
from fescueknot.identity import InstanceId
from fescueknot.node import refusals
from fescueknot.node.hard_retries import HardRetries
from tests.node.fakes import runtime

_OWNER = InstanceId(name='ledger-1', incarnation=1)


def _token(serial: int, *, digest: bytes = b'key') -> RunToken:
    return RunToken(owner=_OWNER, digest=digest, serial=serial)


class TestHardRetries:
    """Refused keys at their owner."""

    @pytest.mark.parametrize(
        ('waited_s', 'early'), [(0, True), (1.9, True), (2.1, False)]
    )
    def test_until_the_time_told(self, waited_s: float, early: bool) -> None:
        clock = ManualClock(now_s=100)
        retries = HardRetries(runtime=runtime(clock=clock))
        assert retries.refuse_early(_token(1)) is None
        retries.record(_token(1), refusals.too_early(2))
        clock.advance(seconds_s=waited_s)
        end = retries.refuse_early(_token(2))
        assert (end is not None) is early

    def test_refusal_says_not_run_and_when(self) -> None:
        retries = HardRetries(runtime=runtime())
        retries.record(_token(1), refusals.too_early(2))
        end = retries.refuse_early(_token(2))
        assert end.outcome is Outcome.NOT_RUN
        assert end.answer.header('Retry-After') == '2'

    def test_other_keys_and_answered_ones_pass(self) -> None:
        retries = HardRetries(runtime=runtime())
        retries.record(_token(1), refusals.too_early(2))
        assert retries.refuse_early(_token(2, digest=b'other')) is None
        retries.record(_token(1), refusals.no_owner())
        assert retries.refuse_early(_token(3)) is None
