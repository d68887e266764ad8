"""The retry budget that all nodes of the fleet share."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.retries.shared_budget import (
    MAX_URGENCY,
    SharedBudget,
    SharedBudgetSettings,
)

_RATIO = 0.2
_SLACK = 12
_NODES = 6
_WINDOW_S = 10
_SETTINGS = SharedBudgetSettings(ratio=_RATIO, slack=_SLACK)


class _Fleet:
    """Nodes of a fleet, with the times of first attempts and retries."""

    def __init__(self):
        self.nodes = [self._new_budget() for _ in range(_NODES)]
        self.first_attempt_times_s = []
        self.retries = []
        self.now_s = 0

    def _new_budget(self):
        return SharedBudget(settings=_SETTINGS)

    def call(self, node, retries, urgency=1):
        self.nodes[node].earn(_NODES)
        self.first_attempt_times_s.append(self.now_s)
        for _ in range(retries):
            if self.nodes[node].spend(urgency):
                self.retries.append(self.now_s)

    def restart(self, node):
        self.nodes[node] = self._new_budget()

    def wait(self, pause_s):
        self.now_s += pause_s

    def count_in_window(self, times_s, start_s):
        return sum(0 <= time_s - start_s < _WINDOW_S for time_s in times_s)


_NODE_INDEXES = st.integers(0, _NODES - 1)
_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('call'),
            _NODE_INDEXES,
            st.integers(0, 4),
            st.sampled_from([0, 1, MAX_URGENCY]),
        ),
        st.tuples(st.just('restart'), _NODE_INDEXES),
        st.tuples(st.just('wait'), st.sampled_from([0, 0.5, 3, 11])),
    ),
    max_size=300,
)


class TestFleetBound:
    """The bound holds for any sequence of calls, retries and restarts."""

    @given(steps=_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_retries_in_any_window_are_bounded(self, steps):
        fleet = _Fleet()
        for name, *arguments in steps:
            getattr(fleet, name)(*arguments)
        for start_s in fleet.retries:
            first_attempts = fleet.count_in_window(
                fleet.first_attempt_times_s, start_s
            )
            allowed = _RATIO * first_attempts + _SLACK
            assert (
                fleet.count_in_window(fleet.retries, start_s) <= allowed + 1e-6
            )

    def test_budget_is_used_while_calls_fail(self):
        fleet = _Fleet()
        for number in range(3000):
            fleet.call(number % _NODES, retries=1)
            fleet.wait(0.01)
        allowed = _RATIO * len(fleet.first_attempt_times_s)
        assert len(fleet.retries) > 0.85 * allowed

    def test_charged_retries_are_paid_back(self):
        budget = SharedBudget(settings=_SETTINGS)
        for _ in range(10):
            budget.charge()
        for _ in range(50):
            budget.earn(_NODES)
        assert not budget.spend(1)
        for _ in range(20):
            budget.earn(_NODES)
        assert budget.spend(1)

    @pytest.mark.parametrize(
        ('nodes', 'expected_retries'), [(1, 2), (6, 1), (14_000, 1)]
    )
    def test_larger_fleet_saves_fewer_tokens_per_node(
        self, nodes, expected_retries
    ):
        budget = SharedBudget(settings=_SETTINGS)
        for _ in range(100):
            budget.earn(nodes)
        retries = 0
        while budget.spend(1):
            retries += 1
        assert retries == expected_retries


class TestUrgency:
    """Which retries are granted when tokens are lacking."""

    def test_more_urgent_retries_are_granted_first(self):
        budget = SharedBudget(settings=_SETTINGS)
        granted = [0, 0, 0, 0]
        for number in range(4000):
            budget.earn(_NODES)
            step = number % 4
            granted[step] += budget.spend((step + 1) / 4)
        assert granted[3] > 3 * (granted[0] + granted[1])

    def test_all_retries_are_granted_within_the_budget(self):
        budget = SharedBudget(settings=_SETTINGS)
        for number in range(400):
            budget.earn(_NODES)
            if number % 10 == 9:
                assert budget.spend(0.1)

    def test_max_urgency_is_granted_first(self):
        budget = SharedBudget(settings=_SETTINGS)
        granted = 0
        other_granted = 0
        for number in range(1000):
            budget.earn(_NODES)
            other_granted += budget.spend(0.5)
            if number % 20 == 0:
                granted += budget.spend(MAX_URGENCY)
        assert granted / 50 > 3 * other_granted / 1000
