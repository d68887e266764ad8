"""Reads of the store by nodes whose evidence is no longer fresh."""

import pytest

from fescueknot.gossip.fallback import FallbackSchedule
from fescueknot.gossip.freshness import FreshnessBounds
from fescueknot.randomness import seeded

_STORE_READS_PER_S = 2000
_STEP_S = 0.1


def _reads(schedule, *, nodes, duration_s, is_alone=False, answers=True):
    """Return the times of the reads while there is no fresh evidence."""
    times_s = []
    for step in range(int(duration_s / _STEP_S)):
        now_s = step * _STEP_S
        if schedule.is_due(now_s=now_s, nodes=nodes, is_alone=is_alone):
            times_s.append(now_s)
            record = (
                schedule.record_success if answers else schedule.record_failure
            )
            record(now_s=now_s, nodes=nodes)
    return times_s


class TestFallbackSchedule:
    """Times of one node's reads, and those of a fleet together."""

    @pytest.mark.parametrize('answers', [True, False])
    @pytest.mark.parametrize('nodes', [2000, 14_000])
    def test_a_fleet_without_readers_stays_below_the_rate_of_the_store(
        self, nodes, answers
    ):
        sample = nodes // 20
        reads_s = [
            at_s
            for seed in range(sample)
            for at_s in _reads(
                FallbackSchedule(rng=seeded(seed=seed)),
                nodes=nodes,
                duration_s=30,
                answers=answers,
            )
        ]
        for second in range(30):
            reads = sum(second <= at_s < second + 1 for at_s in reads_s)
            assert reads * 20 < _STORE_READS_PER_S

    def test_a_node_that_hears_nobody_reads_at_once(self):
        schedule = FallbackSchedule(rng=seeded(seed=1))
        reads_s = _reads(schedule, nodes=14_000, duration_s=1, is_alone=True)
        assert reads_s == [0]

    def test_a_store_that_does_not_answer_is_asked_less_and_less_often(self):
        schedule = FallbackSchedule(rng=seeded(seed=1))
        reads_s = _reads(
            schedule, nodes=24, duration_s=60, is_alone=True, answers=False
        )
        pauses_s = [
            later - sooner
            for sooner, later in zip(reads_s, reads_s[1:], strict=False)
        ]
        assert pauses_s[0] < 0.3
        assert min(pauses_s[-10:]) > 0.7
        assert max(pauses_s) < 1.7

    def test_the_pauses_start_anew_once_there_is_fresh_evidence(self):
        schedule = FallbackSchedule(rng=seeded(seed=1))
        _reads(schedule, nodes=24, duration_s=60, answers=False)
        schedule.reset()
        schedule.is_due(now_s=60, nodes=24, is_alone=True)
        schedule.record_failure(now_s=60, nodes=24)
        assert schedule.is_due(now_s=60.2, nodes=24, is_alone=True)


class TestFreshnessBounds:
    """Ages and intervals that follow from the bound for a change."""

    @pytest.mark.parametrize('in_force_s', [2.5, 9])
    def test_a_node_reads_early_enough_to_keep_the_bound(self, in_force_s):
        bounds = FreshnessBounds(in_force_s=in_force_s)
        longest_check_s = bounds.check_interval_s * 1.3
        assert bounds.max_age_s + longest_check_s < in_force_s * 0.85

    @pytest.mark.parametrize('in_force_s', [2.5, 9])
    def test_a_reader_has_fresh_evidence_for_those_who_ask(self, in_force_s):
        bounds = FreshnessBounds(in_force_s=in_force_s)
        assert bounds.watch_s + 0.2 < bounds.renew_age_s

    @pytest.mark.parametrize('in_force_s', [2.5, 9])
    def test_there_is_time_for_several_questions(self, in_force_s):
        bounds = FreshnessBounds(in_force_s=in_force_s)
        left_s = bounds.max_age_s - bounds.renew_age_s
        assert left_s > 2 * bounds.check_interval_s * 1.2

    @pytest.mark.parametrize(
        ('age_ms', 'is_fresh'),
        [(-1, False), (0, True), (1750, True), (1751, False)],
    )
    def test_an_age_in_a_message_is_compared_with_the_bound(
        self, age_ms, is_fresh
    ):
        bounds = FreshnessBounds(in_force_s=2.5)
        assert bounds.is_fresh_ms(age_ms) is is_fresh
