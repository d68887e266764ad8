"""Slots that are kept free when that raises a target's throughput."""

import pytest

from fescueknot.admission.limit import Sample
from fescueknot.admission.messages import CompletionKind
from fescueknot.randomness import seeded
from fescueknot.relay.slot_limit import SlotLimit
from fescueknot.relay.slot_reserve import SlotReserve, Stage

_SLOTS = 11


class _SimulatedTarget:
    """Service times of a target that uses all but the reserved slots."""

    def __init__(self, *, slowdown, spread=0.5):
        self.reserve = SlotReserve(slots=_SLOTS)
        self.now_s = 0
        self._slowdown = slowdown
        self._spread = spread
        self._rng = seeded(seed=1)

    def simulate(self, count=400, pause_s=0.003):
        for _ in range(count):
            self.now_s += pause_s
            in_flight = _SLOTS - self.reserve.reserved_slots
            service_s = 0.03 * self._rng.lognormvariate(0, self._spread)
            if in_flight == _SLOTS:
                service_s *= self._slowdown
            self.reserve.record('r', in_flight, service_s, self.now_s)
        return self.reserve.stage


class TestComparison:
    """Comparison of throughput with and without reserved slots."""

    @pytest.mark.parametrize(
        ('slowdown', 'stage'), [(1.3, Stage.RESERVED), (1, Stage.PAUSED)]
    )
    def test_the_setting_with_the_higher_throughput_is_kept(
        self, slowdown, stage
    ):
        assert _SimulatedTarget(slowdown=slowdown).simulate() is stage

    def test_the_comparison_is_repeated(self):
        target = _SimulatedTarget(slowdown=1.3)
        target.simulate()
        target.now_s += 16
        assert target.simulate(count=1) is Stage.MEASURING_ALL
        assert target.simulate() is Stage.RESERVED

    def test_pauses_grow_while_a_reserve_brings_nothing(self):
        target = _SimulatedTarget(slowdown=1)
        target.simulate()
        target.now_s += 9
        target.simulate(count=1)
        target.simulate()
        target.now_s += 15
        assert target.simulate(count=1) is Stage.PAUSED

    def test_old_service_times_are_not_compared(self):
        target = _SimulatedTarget(slowdown=1.3)
        target.simulate(count=150)
        target.now_s += 6
        target.simulate(count=150)
        assert target.reserve.stage is Stage.MEASURING_ALL


class TestReserve:
    """Size of the reserve, and the service times compared."""

    @pytest.mark.parametrize(
        ('slots', 'usable'), [(1, 1), (6, 5), (16, 15), (36, 33)]
    )
    def test_the_reserve_is_a_small_fraction_of_the_slots(self, slots, usable):
        reserve = SlotReserve(slots=slots)
        for number in range(500):
            in_flight = slots - reserve.reserved_slots
            service_s = 0.06 if in_flight == slots else 0.03
            reserve.record('r', in_flight, service_s, number / 1000)
        assert slots - reserve.reserved_slots == usable

    def test_requests_that_make_calls_are_not_compared(self):
        limit = SlotLimit(slots=_SLOTS)
        for number in range(500):
            in_flight = limit.current()
            sample = Sample(
                kind=CompletionKind.OK,
                service_time_s=in_flight / 100,
                downstream_s=0,
                started_s=0,
                in_flight=in_flight,
                has_downstream_calls=True,
            )
            limit.update(sample, number / 1000)
        assert limit.current() == _SLOTS

    def test_service_times_are_relative_to_the_route(self):
        reserve = SlotReserve(slots=_SLOTS)
        for number in range(2000):
            full = number % 2
            in_flight = (
                _SLOTS if full and not reserve.reserved_slots else _SLOTS - 1
            )
            route = 'long' if in_flight == _SLOTS else 'short'
            service_s = 0.3 if route == 'long' else 0.03
            reserve.record(route, in_flight, service_s, number / 1000)
        assert reserve.stage is Stage.PAUSED
