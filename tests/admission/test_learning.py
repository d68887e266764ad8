"""The learned limit, levels, early refusals and fairness."""

import pytest

from fescueknot.admission.adaptive import AdaptiveLimit
from fescueknot.admission.fairness import CallerShares
from fescueknot.admission.levelbook import LevelBook
from fescueknot.admission.levels import (
    LevelController,
    LevelSettings,
    Occupancy,
)
from fescueknot.admission.limit import Sample
from fescueknot.admission.messages import AdmissionLevel, CompletionKind
from fescueknot.admission.rank import OPEN_RANK
from fescueknot.calls import Importance

_WORK_S = 0.05


class Target:
    """A target with slots that is kept as full as the limit allows."""

    def __init__(self, *, slots, queues):
        self.slots = slots
        self.work_s = _WORK_S
        self.below_s = 0
        self.limit = AdaptiveLimit()
        self._queues = queues
        self._now_s = float(0)

    def run(self, seconds_s):
        until_s = self._now_s + seconds_s
        while self._now_s < until_s:
            self._serve_one_round()

    def _serve_one_round(self):
        held = self.limit.current()
        if held > self.slots and not self._queues:
            self._learn(CompletionKind.REFUSED, 0, held)
            return
        waves = max(1, held / self.slots)
        own_s = self.work_s * waves
        started_s = self._now_s
        self._now_s += own_s + self.below_s
        for _ in range(held):
            self._learn(CompletionKind.OK, own_s, held, started_s)

    def _learn(self, kind, own_s, held, started_s=0):
        sample = Sample(
            kind=kind,
            service_time_s=own_s + self.below_s,
            downstream_s=self.below_s,
            started_s=started_s,
            in_flight=held,
        )
        self.limit.update(sample, self._now_s)


class TestLimit:
    """Uneven slots that change without warning."""

    @pytest.mark.parametrize('queues', [False, True])
    def test_follows_slots_up_and_down(self, queues):
        target = Target(slots=20, queues=queues)
        for slots in (20, 5, 35):
            target.slots = slots
            target.run(10)
            assert slots * 0.7 <= target.limit.current() <= slots * 1.5 + 1

    def test_slower_work_keeps_the_limit(self):
        target = Target(slots=20, queues=True)
        target.run(10)
        target.work_s = _WORK_S * 5
        target.run(20)
        assert target.limit.current() >= 20 * 0.7

    def test_slower_calls_below_keep_the_limit(self):
        target = Target(slots=20, queues=True)
        target.run(10)
        target.below_s = 1
        target.run(20)
        assert target.limit.current() >= 20 * 0.7


def _observe(levels, occupancy, now_s):
    if levels.is_due(occupancy.waiting, now_s):
        levels.close_window(occupancy, now_s)


class TestLevel:
    """What a gate sheds at once."""

    def test_closes_under_overload_and_opens_again(self):
        levels = LevelController()
        full = Occupancy(waiting=20, in_flight=10, limit=10, capacity_per_s=100)
        for step in range(1000):
            levels.note_offer(step % 40 / 10)
            _observe(levels, full, step / 1000)
        assert levels.level == 1
        idle = Occupancy(waiting=0, in_flight=0, limit=10, capacity_per_s=100)
        for step in range(100):
            _observe(levels, idle, 1 + step / 20)
        assert levels.level == OPEN_RANK

    @pytest.mark.parametrize(
        ('from_demand', 'sheds_at_once'), [(True, True), (False, False)]
    )
    def test_the_first_step_sheds_when_it_begins_at_the_demand(
        self, starts_at_demand, sheds_at_once
    ):
        levels = LevelController(
            settings=LevelSettings(starts_at_demand=starts_at_demand)
        )
        full = Occupancy(waiting=20, in_flight=10, limit=10, capacity_per_s=100)
        _observe(levels, full, 0)
        for step in range(24):
            levels.note_offer(Importance.NORMAL + step / 24)
        _observe(levels, full, 0.1)
        highest = Importance.NORMAL + 23 / 24
        assert (levels.level < highest) is sheds_at_once

    def test_without_too_much_demand_it_stays_open(self):
        levels = LevelController(settings=LevelSettings(starts_at_demand=True))
        idle = Occupancy(waiting=0, in_flight=1, limit=10, capacity_per_s=100)
        for step in range(100):
            levels.note_offer(Importance.NORMAL)
            _observe(levels, idle, step / 20)
        assert levels.level == OPEN_RANK


class TestLevelBook:
    """Refusal where requests enter."""

    def test_refuses_what_will_be_shed_and_forgets(self):
        book = LevelBook()
        shedding = AdmissionLevel(importance=Importance.HIGH, bucket=0)
        for _ in range(30):
            book.note('inscripcion', shedding, 0)
        root_id = '1' * 32
        assert book.refuses('inscripcion', Importance.LOW, root_id, 0)
        assert not book.refuses('inscripcion', Importance.CRITICAL, root_id, 0)
        assert not book.refuses('inscripcion', Importance.LOW, root_id, 30)

    def test_levels_of_services_below_travel_up(self):
        book = LevelBook()
        shedding = AdmissionLevel(importance=Importance.HIGH, bucket=0)
        for _ in range(30):
            book.note('salidas', shedding, 0)
        own = AdmissionLevel(importance=Importance.LOW, bucket=1024)
        lowered = book.lowered(own, ('salidas',), 0)
        assert lowered.importance is Importance.HIGH


class TestFairness:
    """Callers among each other."""

    def test_one_that_floods_crowds_out_itself(self):
        shares = CallerShares()
        for _ in range(100):
            shares.note('modest')
            shares.note('usual')
            for _ in range(10):
                shares.note('flood')
        shares.age()
        assert shares.weight('modest') == 1
        assert shares.weight('flood') > 5
