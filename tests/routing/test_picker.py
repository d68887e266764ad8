"""Choice of targets: locality, draining, ejection, ramps, subsets."""

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
_COLD_SHARE = 0.2
_FULL = LoadReport(limit=2, in_flight=2, waiting=1, level_rank=1.5)
_FREE = LoadReport(limit=2, in_flight=0, waiting=0, level_rank=4)


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
    """Near targets first, farther ones only while the near are full."""

    @pytest.mark.parametrize('nearest', list(Tier))
    def test_the_nearest_goes_first(self, nearest):
        tiers = [tier for tier in Tier if tier >= nearest]
        picker = _picker(*(_candidate(tier) for tier in tiers))
        assert picker.pick(0, seeded(seed=1)).tier is nearest

    def test_spills_over_while_full_and_comes_back(self):
        picker = _picker()
        rng = seeded(seed=1)
        _finish(picker, Tier.LOCAL_HOST, ResultKind.REFUSED, 0, _FULL)
        assert picker.pick(0.01, rng, rank=2).tier is Tier.FAILURE_DOMAIN
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 0.1, _FREE)
        assert picker.pick(0.2, rng, rank=2).tier is Tier.LOCAL_HOST

    def test_full_targets_still_get_what_they_admit(self):
        picker = _picker()
        busy = msgspec.structs.replace(_FULL, waiting=0)
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 0, busy)
        assert picker.pick(0.01, seeded(seed=1)).tier is Tier.LOCAL_HOST

    def test_a_long_line_sends_important_calls_on(self):
        picker = _picker()
        _finish(picker, Tier.LOCAL_HOST, ResultKind.OK, 0, _FULL)
        pick = picker.pick(0.01, seeded(seed=1))
        assert pick.tier is Tier.FAILURE_DOMAIN

    def test_all_full_stays_near(self):
        picker = _picker()
        for tier in Tier:
            _finish(picker, tier, ResultKind.REFUSED, 0, _FULL)
        pick = picker.pick(0.01, seeded(seed=1), rank=2)
        assert pick.tier is Tier.LOCAL_HOST


class _CountingRandom(random.Random):
    """Counts the draws."""

    def __init__(self, seed):
        super().__init__(seed)
        self.draws = 0

    def random(self):
        self.draws += 1
        return super().random()


class TestCost:
    """What a pick looks at."""

    def test_far_tiers_are_not_looked_at_while_the_nearest_has_room(self):
        rng = _CountingRandom(1)
        assert _picker().pick(0, rng).tier is Tier.LOCAL_HOST
        assert rng.draws == 1


class TestDraining:
    """A target that is leaving."""

    def test_gets_no_new_call(self):
        state = CandidateState.DRAINING
        picker = _picker(_candidate(Tier.REGION, state=state))
        assert isinstance(picker.pick(0, seeded(seed=1)), NoTarget)


class TestEjection:
    """A target that fails."""

    def test_returns_by_one_trial(self):
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

    def test_the_last_target_is_called_if_ejected(self):
        picker = _picker(_candidate(Tier.REGION))
        for _ in range(5):
            _finish(picker, Tier.REGION, ResultKind.FAILED, 0)
        assert picker.pick(0.1, seeded(seed=1)).tier is Tier.REGION


class TestRamp:
    """A cold target."""

    def test_gets_a_growing_share(self):
        cold = _candidate(Tier.REGION, started_s=0)
        warm = msgspec.structs.replace(
            cold, instance=_instance('warm'), started_s=-100
        )
        picker = _picker(cold, warm)
        shares = []
        for now_s in (0, 5, 10):
            rng = seeded(seed=1)
            picks = [picker.pick(now_s, rng).instance for _ in range(500)]
            shares.append(picks.count(cold.instance) / 500)
        assert shares[0] < _COLD_SHARE
        assert shares == sorted(shares)


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
    """Connections to one target over all nodes that call it."""

    @pytest.mark.parametrize(
        ('targets', 'callers', 'limit'),
        [
            (6, 24, 130),
            (6, 18, 300),
            (60, 1400, 300),
            (60, 1400, 140),
        ],
    )
    def test_stay_within_its_limit(self, targets, callers, limit):
        candidates = _spread_candidates(targets, limit)
        called = collections.Counter()
        for number in range(callers):
            called.update(_subset_of(number, callers, candidates))
        assert max(called.values()) <= limit
