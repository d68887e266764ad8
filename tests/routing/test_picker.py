"""Picking targets: locality, draining, ejection, warm-up, subsets."""

import collections
import random
import types

import msgspec
import pytest

from fescueknot.identity import InstanceId, Place
from fescueknot.randomness import seeded
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    CandidateState,
    LoadReport,
    NoTarget,
    ResultKind,
    Tier,
)
from fescueknot.routing.picker import TargetPicker
from fescueknot.routing.subset import (
    SubsetSettings,
    Viewpoint,
    choose_subset,
)

_HERE = Place(region='sierra', failure_domain='a')
_PLACES = types.MappingProxyType(
    {
        Tier.LOCAL_HOST: _HERE,
        Tier.FAILURE_DOMAIN: _HERE,
        Tier.REGION: Place(region='sierra', failure_domain='b'),
        Tier.ELSEWHERE: Place(region='costa', failure_domain='c'),
    }
)
_MAX_COLD_FRACTION = 0.2
_FULL_REPORT = LoadReport(limit=2, in_flight=2, waiting=1, level_rank=1.5)
_FREE_REPORT = LoadReport(limit=2, in_flight=0, waiting=0, level_rank=4)


def _instance(name):
    return InstanceId(name=name, incarnation=1)


def _candidate(tier, **changes):
    name = 'me' if tier is Tier.LOCAL_HOST else tier.name
    fields = {
        'instance': _instance(name),
        'place': _PLACES[tier],
        'started_s': -1000,
    }
    return Candidate(**{**fields, **changes})


def _picker(*candidates):
    viewpoint = Viewpoint(node=_instance('me'), place=_HERE)
    picker = TargetPicker(viewpoint=viewpoint)
    picker.update(candidates or tuple(_candidate(tier) for tier in Tier))
    return picker


def _finish(picker, tier, kind, now_s, report=None):
    result = CallResult(kind=kind, latency_s=0.1, report=report)
    instance = _candidate(tier).instance
    picker.started(instance)
    picker.finished(instance, result, now_s)


class TestLocality:
    """Near targets are picked first, far targets while these are full."""

    @pytest.mark.parametrize('nearest', list(Tier))
    def test_nearest_target_is_picked(self, nearest):
        tiers = [tier for tier in Tier if tier >= nearest]
        picker = _picker(*(_candidate(tier) for tier in tiers))
        assert picker.pick(0, seeded(seed=1)).tier is nearest

    def test_spills_over_only_while_the_nearest_is_full(self):
        picker = _picker()
        rng = seeded(seed=1)
        _finish(picker, Tier.LOCAL_HOST, ResultKind.REFUSED, 0, _FULL_REPORT)
        assert picker.pick(0.01, rng, rank=2).tier is Tier.FAILURE_DOMAIN
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 0.1, _FREE_REPORT)
        assert picker.pick(0.2, rng, rank=2).tier is Tier.LOCAL_HOST

    def test_full_target_gets_calls_that_it_admits(self):
        picker = _picker()
        busy = msgspec.structs.replace(_FULL_REPORT, waiting=0)
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 0, busy)
        assert picker.pick(0.01, seeded(seed=1)).tier is Tier.LOCAL_HOST

    def test_long_queue_spills_over_important_calls(self):
        picker = _picker()
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 0, _FULL_REPORT)
        pick = picker.pick(0.01, seeded(seed=1))
        assert pick.tier is Tier.FAILURE_DOMAIN

    def test_nearest_target_is_picked_if_all_are_full(self):
        picker = _picker()
        for tier in Tier:
            _finish(picker, tier, ResultKind.REFUSED, 0, _FULL_REPORT)
        pick = picker.pick(0.01, seeded(seed=1), rank=2)
        assert pick.tier is Tier.LOCAL_HOST


class _CountingRandom(random.Random):
    """Counts the calls of ``random``."""

    def __init__(self, seed):
        super().__init__(seed)
        self.draws = 0

    def random(self):
        self.draws += 1
        return super().random()


class TestPickCost:
    """Targets that are evaluated for a pick."""

    def test_far_tiers_are_not_evaluated_if_the_nearest_has_capacity(self):
        rng = _CountingRandom(1)
        assert _picker().pick(0, rng).tier is Tier.LOCAL_HOST
        assert rng.draws == 1


class TestDraining:
    """Targets that drain."""

    def test_draining_target_gets_no_new_call(self):
        state = CandidateState.DRAINING
        picker = _picker(_candidate(Tier.REGION, state=state))
        assert isinstance(picker.pick(0, seeded(seed=1)), NoTarget)


class TestEjection:
    """Targets whose calls fail."""

    def test_one_successful_trial_ends_the_ejection(self):
        picker = _picker(
            _candidate(Tier.FAILURE_DOMAIN), _candidate(Tier.ELSEWHERE)
        )
        rng = seeded(seed=1)
        for _ in range(5):
            near = Tier.FAILURE_DOMAIN
            _finish(picker, near, ResultKind.UNREACHABLE, 0)
        assert picker.pick(0.1, rng).tier is Tier.ELSEWHERE
        trial = picker.pick(1, rng)
        assert (trial.tier, trial.trial) == (Tier.FAILURE_DOMAIN, True)
        assert picker.pick(1, rng).tier is Tier.ELSEWHERE
        _finish(picker, Tier.FAILURE_DOMAIN, ResultKind.OK, 1.1)
        assert picker.pick(20, rng).tier is Tier.FAILURE_DOMAIN

    def test_ejected_target_is_picked_if_it_is_the_only_one(self):
        picker = _picker(_candidate(Tier.REGION))
        for _ in range(5):
            _finish(picker, Tier.REGION, ResultKind.FAILED, 0)
        assert picker.pick(0.1, seeded(seed=1)).tier is Tier.REGION


class TestRamp:
    """The share of calls of a cold target while it warms up."""

    def test_fraction_of_calls_grows_over_time(self):
        cold = _candidate(Tier.REGION, started_s=0)
        warm = msgspec.structs.replace(
            cold, instance=_instance('warm'), started_s=-100
        )
        picker = _picker(cold, warm)
        fractions = []
        for now_s in (0, 5, 10):
            rng = seeded(seed=1)
            picks = [picker.pick(now_s, rng).instance for _ in range(500)]
            fractions.append(picks.count(cold.instance) / 500)
        assert fractions[0] < _MAX_COLD_FRACTION
        assert fractions == sorted(fractions)


def _place_of(number):
    return Place(region=f'r{number % 3}', failure_domain='a')


def _spread_candidates(targets, limit):
    return tuple(
        Candidate(
            instance=_instance(f'target{number}'),
            place=_place_of(number),
            connection_limit=limit,
        )
        for number in range(targets)
    )


def _subset_of(number, callers, candidates):
    viewpoint = Viewpoint(
        node=_instance(f'node{number}'),
        place=_place_of(number),
        callers=callers,
    )
    subset = choose_subset(viewpoint, candidates, SubsetSettings())
    return [chosen.instance for chosen in subset]


class TestSubset:
    """Connections to one target, summed over the nodes that call it."""

    @pytest.mark.parametrize(
        ('targets', 'callers', 'limit'),
        [
            (6, 24, 130),
            (6, 18, 300),
            (60, 1400, 300),
            (60, 1400, 140),
        ],
    )
    def test_connections_stay_within_the_limit(self, targets, callers, limit):
        candidates = _spread_candidates(targets, limit)
        connections = collections.Counter()
        for number in range(callers):
            connections.update(_subset_of(number, callers, candidates))
        assert max(connections.values()) <= limit

    def test_unlimited_targets_join_for_limited_ones(self):
        candidates = tuple(
            Candidate(
                instance=_instance(f'i-{index}'),
                place=_HERE,
                is_rate_limited=index < 30,
            )
            for index in range(40)
        )
        settings = SubsetSettings(max_size=8, min_unlimited=4)
        for caller in range(50):
            viewpoint = Viewpoint(node=_instance(f'c-{caller}'), place=_HERE)
            subset = choose_subset(viewpoint, candidates, settings)
            unlimited = sum(not one.is_rate_limited for one in subset)
            assert unlimited >= 4
            assert 8 <= len(subset) <= 12


class TestRateLimitedTarget:
    """Targets that announce a rate limit."""

    def _refused(self, picker, tier, now_s):
        report = msgspec.structs.replace(_FULL_REPORT, is_rate_limited=True)
        _finish(picker, tier, ResultKind.REFUSED, now_s, report)

    def test_it_is_called_less_often_with_each_refusal(self):
        picker = _picker(_candidate(Tier.LOCAL_HOST))
        record = next(iter(picker._records.values()))
        pauses_s = []
        for start_s in (10, 20, 30):
            self._refused(picker, Tier.LOCAL_HOST, start_s)
            paused = [
                step / 100
                for step in range(1000)
                if record.rate_backoff.is_paused(start_s + step / 100)
            ]
            pauses_s.append(max(paused))
        assert pauses_s == pytest.approx([0.25, 0.5, 1], abs=0.02)

    def test_another_target_is_called_during_the_pause(self):
        picker = _picker(
            _candidate(Tier.FAILURE_DOMAIN), _candidate(Tier.ELSEWHERE)
        )
        self._refused(picker, Tier.FAILURE_DOMAIN, 10)
        pick = picker.pick(10.1, seeded(seed=1))
        assert pick.tier is Tier.ELSEWHERE

    def test_it_is_called_if_there_is_no_other(self):
        picker = _picker(_candidate(Tier.FAILURE_DOMAIN))
        self._refused(picker, Tier.FAILURE_DOMAIN, 10)
        pick = picker.pick(10.1, seeded(seed=1))
        assert pick.tier is Tier.FAILURE_DOMAIN

    def test_an_old_report_still_tells_its_few_slots(self):
        picker = _picker(_candidate(Tier.LOCAL_HOST, slots=36))
        record = next(iter(picker._records.values()))
        self._refused(picker, Tier.LOCAL_HOST, 10)
        assert record.load(1000) == pytest.approx(1 / _FULL_REPORT.limit)

    def test_a_report_without_a_limit_ends_it(self):
        picker = _picker(_candidate(Tier.LOCAL_HOST, slots=36))
        record = next(iter(picker._records.values()))
        self._refused(picker, Tier.LOCAL_HOST, 10)
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 10.1, _FREE_REPORT)
        assert not record.rate_backoff.is_limited
        assert not record.rate_backoff.is_paused(10.1)
