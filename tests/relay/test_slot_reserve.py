"""Whether a target serves more when a few of its slots stay free."""

import pytest

from fescueknot.admission.limit import Sample
from fescueknot.admission.messages import CompletionKind
from fescueknot.randomness import seeded
from fescueknot.relay.slot_limit import SlotLimit
from fescueknot.relay.slot_reserve import SlotReserve, Stage

_SLOTS = 11


class _Target:
    """Service times of a target that is used as far as the watch lets it."""

    def __init__(self, *, slowed, spread=0.5):
        self.watch = SlotReserve(slots=_SLOTS)
        self.now_s = 0
        self._slowed = slowed
        self._spread = spread
        self._rng = seeded(seed=1)

    def play(self, count=400, pause_s=0.003):
        for _ in range(count):
            self.now_s += pause_s
            in_flight = _SLOTS - self.watch.reserved
            took_s = 0.03 * self._rng.lognormvariate(0, self._spread)
            if in_flight == _SLOTS:
                took_s *= self._slowed
            self.watch.note('r', in_flight, took_s, self.now_s)
        return self.watch.stage


class TestComparison:
    """Comparison."""

    @pytest.mark.parametrize(
        ('slowed', 'stage'), [(1.3, Stage.RESERVED), (1, Stage.PAUSED)]
    )
    def test_it_ends_with_what_serves_more(self, slowed, stage):
        assert _Target(slowed=slowed).play() is stage

    def test_it_is_made_again_later(self):
        target = _Target(slowed=1.3)
        target.play()
        target.now_s += 16
        assert target.play(count=1) is Stage.FULL
        assert target.play() is Stage.RESERVED

    def test_it_is_made_less_often_where_it_brings_nothing(self):
        target = _Target(slowed=1)
        target.play()
        target.now_s += 9
        target.play(count=1)
        target.play()
        target.now_s += 15
        assert target.play(count=1) is Stage.PAUSED

    def test_old_service_times_do_not_count(self):
        target = _Target(slowed=1.3)
        target.play(count=150)
        target.now_s += 6
        target.play(count=150)
        assert target.watch.stage is Stage.FULL


class TestReserve:
    """Reserve."""

    @pytest.mark.parametrize(
        ('slots', 'left'), [(1, 1), (6, 5), (16, 15), (36, 33)]
    )
    def test_it_is_a_small_part_of_the_slots(self, slots, left):
        watch = SlotReserve(slots=slots)
        for number in range(500):
            in_flight = slots - watch.reserved
            took_s = 0.06 if in_flight == slots else 0.03
            watch.note('r', in_flight, took_s, number / 1000)
        assert slots - watch.reserved == left

    def test_work_that_makes_calls_is_not_compared(self):
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

    def test_routes_that_take_longer_are_no_slowing(self):
        watch = SlotReserve(slots=_SLOTS)
        for number in range(2000):
            full = number % 2
            in_flight = _SLOTS if full and not watch.reserved else _SLOTS - 1
            route = 'long' if in_flight == _SLOTS else 'short'
            took_s = 0.3 if route == 'long' else 0.03
            watch.note(route, in_flight, took_s, number / 1000)
        assert watch.stage is Stage.PAUSED
