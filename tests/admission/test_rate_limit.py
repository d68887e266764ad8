"""Token bucket of a target, and a gate that keeps its rate."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueknot.admission.gate import AdmissionGate
from fescueknot.admission.limit import FixedLimit
from fescueknot.admission.messages import (
    AdmissionRequest,
    Admit,
    Completion,
    CompletionKind,
    RefusalReason,
    Refuse,
)
from fescueknot.admission.rate_limit import RateLimit, RateLimitSettings
from fescueknot.calls import Importance

_SETTINGS = RateLimitSettings(burst_s=0.5, min_rate_per_s=0.5)
_BURST_MIN = 1


def _limited(rate_per_s, now_s=0):
    rate = RateLimit(settings=_SETTINGS)
    rate.set_rate(rate_per_s, now_s)
    return rate


def _request(ticket, **changes):
    fields = {
        'ticket': ticket,
        'root_id': ticket,
        'caller': 'desk',
        'importance': Importance.CRITICAL,
        'deadline_s': 60,
    }
    return AdmissionRequest(**{**fields, **changes})


class TestTokens:
    """Tokens of a bucket."""

    def test_there_is_always_a_token_without_a_limit(self):
        rate = RateLimit(settings=_SETTINGS)
        for _ in range(1000):
            rate.take()
        assert rate.has_token()

    def test_a_new_limit_starts_with_an_empty_bucket(self):
        rate = _limited(10, now_s=100)
        rate.refill(100.05)
        assert not rate.has_token()
        rate.refill(100.1)
        assert rate.has_token()

    @given(
        gaps_s=st.lists(st.floats(0, 3), max_size=200),
        limits_per_s=st.lists(st.floats(0, 50), min_size=1, max_size=3),
    )
    def test_any_span_takes_no_more_than_rate_and_burst(
        self, gaps_s, limits_per_s
    ):
        rate = RateLimit(settings=_SETTINGS)
        now_s = 0
        taken_s = []
        for index, gap_s in enumerate(gaps_s):
            now_s += gap_s
            rate.set_rate(limits_per_s[index % len(limits_per_s)], now_s)
            while rate.has_token():
                rate.take()
                taken_s.append(now_s)
        highest = max(*limits_per_s, _SETTINGS.min_rate_per_s)
        burst = max(_BURST_MIN, highest * _SETTINGS.burst_s)
        for first, start_s in enumerate(taken_s):
            for last, end_s in enumerate(taken_s[first:], start=1):
                assert last <= highest * (end_s - start_s) + burst + 1e-6

    def test_the_wait_counts_those_ahead(self):
        assert _limited(10).wait_s(3) == pytest.approx(0.4)
        assert RateLimit().wait_s(1000) == 0

    def test_a_limit_of_zero_still_grants_a_few(self):
        rate = _limited(0)
        rate.refill(1 / _SETTINGS.min_rate_per_s)
        assert rate.has_token()
        assert math.isfinite(rate.rate_per_s)


class TestGate:
    """A gate in front of a target with slots left and no token."""

    def _gate(self, rate_per_s=10):
        return AdmissionGate(
            limit=FixedLimit(limit=36), rate=_limited(rate_per_s)
        )

    def test_waiting_requests_are_admitted_at_the_rate(self):
        gate = self._gate()
        for index in range(4):
            gate.offer(_request(str(index)), 0)
        admitted = [len(gate.expire(tenth / 10)) for tenth in range(1, 5)]
        assert admitted == [1, 1, 1, 1]

    def test_a_request_that_can_not_wait_for_its_token_is_refused_at_once(self):
        refused = self._gate().offer(_request('a', max_wait_s=0.05), 0)
        assert isinstance(refused, Refuse)
        assert refused.reason is RefusalReason.RATE_LIMIT

    def test_the_end_of_a_limit_admits_all_that_wait(self):
        rate = _limited(1)
        gate = AdmissionGate(limit=FixedLimit(limit=36), rate=rate)
        for index in range(3):
            gate.offer(_request(str(index)), 0)
        rate.set_rate(None, 0.1)
        admitted = [one for one in gate.expire(0.1) if isinstance(one, Admit)]
        assert len(admitted) == 3

    def test_pressure_reports_the_slots_that_the_rate_keeps_busy(self):
        gate = self._gate(rate_per_s=30)
        gate.offer(_request('a'), 0.1)
        gate.finish(
            'a',
            Completion(kind=CompletionKind.OK, service_time_s=0.1),
            0.1,
        )
        pressure = gate.pressure()
        assert pressure.limit == 1
        assert pressure.in_flight == 0

    def test_pressure_reports_a_full_target_without_a_token(self):
        pressure = self._gate().pressure()
        assert (pressure.in_flight, pressure.limit) == (1, 1)
