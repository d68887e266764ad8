"""Admission levels of routes, and early refusals of root requests."""

from fescueknot.admission.rank import OPEN_RANK
from fescueknot.calls import Importance
from fescueknot.relay.levels_by_route import LevelsByRoute

_CLOSED_RANK = 1.0


class TestEarlyRefusal:
    """Early refusals of root requests."""

    def test_nothing_is_refused_without_reports(self):
        assert not LevelsByRoute().refuses('r', Importance.LOW, 'x', 0)

    def test_a_root_request_is_refused_if_all_targets_would_shed_it(self):
        levels = LevelsByRoute()
        levels.record('r', 'i-1', _CLOSED_RANK, 0)
        levels.record('r', 'i-2', _CLOSED_RANK, 0)
        assert levels.refuses('r', Importance.NORMAL, 'x', 0.5)

    def test_one_open_target_prevents_the_refusal(self):
        levels = LevelsByRoute()
        levels.record('r', 'i-1', _CLOSED_RANK, 0)
        levels.record('r', 'i-2', OPEN_RANK, 0)
        assert not levels.refuses('r', Importance.NORMAL, 'x', 0.5)

    def test_only_ranks_above_the_level_are_refused(self):
        levels = LevelsByRoute()
        levels.record('r', 'i-1', 2.0, 0)
        assert not levels.refuses('r', Importance.HIGH, 'x', 0.5)
        assert levels.refuses('r', Importance.NORMAL, 'x', 0.5)

    def test_levels_rise_again_without_reports(self):
        levels = LevelsByRoute()
        levels.record('r', 'i-1', _CLOSED_RANK, 0)
        assert not levels.refuses('r', Importance.LOW, 'x', 60)


class TestDownstreamLevels:
    """Levels that calls of targets meet."""

    def test_the_level_of_a_route_is_the_mean_over_targets(self):
        levels = LevelsByRoute()
        levels.record('r', 'i-1', 1.0, 0)
        levels.record('r', 'i-2', 2.0, 0)
        assert levels.mean_rank('r', 0.5) == 1.5

    def test_a_target_with_few_slots_counts_little(self):
        levels = LevelsByRoute()
        levels.record('r', 'limited', 1.0, 0, slots=1)
        levels.record('r', 'unlimited', OPEN_RANK, 0, slots=35)
        assert levels.mean_rank('r', 0.5) > OPEN_RANK - 0.1

    def test_lowest_level_of_several_routes(self):
        levels = LevelsByRoute()
        levels.record('a', 'i-1', 1.0, 0)
        levels.record('b', 'i-2', 3.0, 0)
        assert levels.lowest_rank(('a', 'b', 'c'), 0.5) == 1.0
        assert levels.lowest_rank((), 0.5) == OPEN_RANK
