"""The adaptive limit, admission levels, the level book and fairness."""

import pytest

from fescueknot.admission.adaptive import AdaptiveLimit
from fescueknot.admission.fairness import CallerDemand
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


class SimulatedTarget:
    """A target that always has as many requests as the limit allows.

    Requests beyond its slots are queued with ``queues_excess``, else refused.
    """

    def __init__(self, *, slots, queues_excess):
        self.slots = slots
        self.work_s = _WORK_S
        self.downstream_s = 0
        self.limit = AdaptiveLimit()
        self._queues_excess = queues_excess
        self._now_s = float(0)

    def run(self, duration_s):
        until_s = self._now_s + duration_s
        while self._now_s < until_s:
            self._serve_batch()

    def _serve_batch(self):
        in_flight = self.limit.current()
        if in_flight > self.slots and not self._queues_excess:
            self._update_limit(CompletionKind.REFUSED, 0, in_flight)
            return
        batches = max(1, in_flight / self.slots)
        local_s = self.work_s * batches
        started_s = self._now_s
        self._now_s += local_s + self.downstream_s
        for _ in range(in_flight):
            self._update_limit(CompletionKind.OK, local_s, in_flight, started_s)

    def _update_limit(self, kind, local_s, in_flight, started_s=0):
        sample = Sample(
            kind=kind,
            service_time_s=local_s + self.downstream_s,
            downstream_s=self.downstream_s,
            started_s=started_s,
            in_flight=in_flight,
        )
        self.limit.update(sample, self._now_s)


class TestLimit:
    """Targets whose slots or service times change."""

    @pytest.mark.parametrize('queues_excess', [False, True])
    def test_follows_slots_up_and_down(self, queues_excess):
        target = SimulatedTarget(slots=20, queues_excess=queues_excess)
        for slots in (20, 5, 35):
            target.slots = slots
            target.run(10)
            assert slots * 0.7 <= target.limit.current() <= slots * 1.5 + 1

    def test_slower_work_keeps_the_limit(self):
        target = SimulatedTarget(slots=20, queues_excess=True)
        target.run(10)
        target.work_s = _WORK_S * 5
        target.run(20)
        assert target.limit.current() >= 20 * 0.7

    def test_slower_downstream_calls_keep_the_limit(self):
        target = SimulatedTarget(slots=20, queues_excess=True)
        target.run(10)
        target.downstream_s = 1
        target.run(20)
        assert target.limit.current() >= 20 * 0.7


def _sample_queue(levels, occupancy, now_s):
    if levels.observe_queue(occupancy.waiting, now_s):
        levels.close_window(occupancy, now_s)


class TestLevel:
    """The admission level under varying demand."""

    def test_level_falls_under_overload_and_recovers(self):
        levels = LevelController()
        full = Occupancy(waiting=20, in_flight=10, limit=10, capacity_per_s=100)
        for step in range(1000):
            levels.count_offer(step % 40 / 10)
            _sample_queue(levels, full, step / 1000)
        assert levels.level == 1
        idle = Occupancy(waiting=0, in_flight=0, limit=10, capacity_per_s=100)
        for step in range(100):
            _sample_queue(levels, idle, 1 + step / 20)
        assert levels.level == OPEN_RANK

    @pytest.mark.parametrize(
        ('starts_at_demand', 'sheds_at_once'), [(True, True), (False, False)]
    )
    def test_first_step_sheds_if_it_starts_at_the_demand(
        self, starts_at_demand, sheds_at_once
    ):
        levels = LevelController(
            settings=LevelSettings(starts_at_demand=starts_at_demand)
        )
        full = Occupancy(waiting=20, in_flight=10, limit=10, capacity_per_s=100)
        _sample_queue(levels, full, 0)
        for step in range(24):
            levels.count_offer(Importance.NORMAL + step / 24)
        _sample_queue(levels, full, 0.1)
        highest = Importance.NORMAL + 23 / 24
        assert (levels.level < highest) is sheds_at_once

    def test_level_stays_open_within_capacity(self):
        levels = LevelController(settings=LevelSettings(starts_at_demand=True))
        idle = Occupancy(waiting=0, in_flight=1, limit=10, capacity_per_s=100)
        for step in range(100):
            levels.count_offer(Importance.NORMAL)
            _sample_queue(levels, idle, step / 20)
        assert levels.level == OPEN_RANK


class TestLevelBook:
    """Refusal at the entry by the levels of called services."""

    def test_stored_level_refuses_and_expires(self):
        book = LevelBook()
        shedding = AdmissionLevel(importance=Importance.HIGH, bucket=0)
        for _ in range(30):
            book.note('inscripcion', shedding, 0)
        root_id = '1' * 32
        assert book.refuses('inscripcion', Importance.LOW, root_id, 0)
        assert not book.refuses('inscripcion', Importance.CRITICAL, root_id, 0)
        assert not book.refuses('inscripcion', Importance.LOW, root_id, 30)

    def test_level_is_lowered_to_downstream_services(self):
        book = LevelBook()
        shedding = AdmissionLevel(importance=Importance.HIGH, bucket=0)
        for _ in range(30):
            book.note('salidas', shedding, 0)
        own = AdmissionLevel(importance=Importance.LOW, bucket=1024)
        lowered = book.lowered(own, ('salidas',), 0)
        assert lowered.importance is Importance.HIGH


class TestFairness:
    """Weights of callers by their demand."""

    def test_flooding_caller_gets_a_higher_weight(self):
        callers = CallerDemand()
        for _ in range(100):
            callers.count('modest')
            callers.count('usual')
            for _ in range(10):
                callers.count('flood')
        callers.decay()
        assert callers.weight('modest') == 1
        assert callers.weight('flood') > 5
