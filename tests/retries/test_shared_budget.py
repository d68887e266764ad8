"""The fleet's retry budget: what all nodes together may repeat."""

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
    """Nodes, and what they asked and repeated by time."""

    def __init__(self):
        self.nodes = [self._start() for _ in range(_NODES)]
        self.first = []
        self.repeats = []
        self.now_s = 0

    def _start(self):
        return SharedBudget(settings=_SETTINGS)

    def ask(self, at, repeats, urgency=1):
        self.nodes[at].earn(_NODES)
        self.first.append(self.now_s)
        for _ in range(repeats):
            if self.nodes[at].spend(urgency):
                self.repeats.append(self.now_s)

    def kill(self, at):
        self.nodes[at] = self._start()

    def wait(self, pause_s):
        self.now_s += pause_s

    def within(self, times_s, began_s):
        return sum(0 <= one - began_s < _WINDOW_S for one in times_s)


_AT = st.integers(0, _NODES - 1)
_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('ask'),
            _AT,
            st.integers(0, 4),
            st.sampled_from([0, 1, MAX_URGENCY]),
        ),
        st.tuples(st.just('kill'), _AT),
        st.tuples(st.just('wait'), st.sampled_from([0, 0.5, 3, 11])),
    ),
    max_size=300,
)


class TestFleetBound:
    """Whatever nodes ask, repeat, and whenever they start anew."""

    @given(steps=_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_no_window_has_more_repeats_than_allowed(self, steps):
        fleet = _Fleet()
        for name, *arguments in steps:
            getattr(fleet, name)(*arguments)
        for began_s in fleet.repeats:
            asked = fleet.within(fleet.first, began_s)
            allowed = _RATIO * asked + _SLACK
            assert fleet.within(fleet.repeats, began_s) <= allowed + 1e-6

    def test_most_of_it_is_used_while_calls_fail(self):
        fleet = _Fleet()
        for number in range(3000):
            fleet.ask(number % _NODES, repeats=1)
            fleet.wait(0.01)
        allowed = _RATIO * len(fleet.first)
        assert len(fleet.repeats) > 0.85 * allowed

    def test_repeats_that_cannot_be_refused_are_paid_back(self):
        budget = SharedBudget(settings=_SETTINGS)
        for _ in range(10):
            budget.charge()
        for _ in range(50):
            budget.earn(_NODES)
        assert not budget.spend(1)
        for _ in range(20):
            budget.earn(_NODES)
        assert budget.spend(1)

    @pytest.mark.parametrize(('nodes', 'most'), [(1, 2), (6, 1), (14_000, 1)])
    def test_a_larger_fleet_saves_up_less_a_node(self, nodes, most):
        budget = SharedBudget(settings=_SETTINGS)
        for _ in range(100):
            budget.earn(nodes)
        repeats = 0
        while budget.spend(1):
            repeats += 1
        assert repeats == most


class TestUrgency:
    """What is repeated when not all can be."""

    def test_the_most_urgent_are(self):
        budget = SharedBudget(settings=_SETTINGS)
        made = [0, 0, 0, 0]
        for number in range(4000):
            budget.earn(_NODES)
            step = number % 4
            made[step] += budget.spend((step + 1) / 4)
        assert made[3] > 3 * (made[0] + made[1])

    def test_all_are_while_there_is_budget(self):
        budget = SharedBudget(settings=_SETTINGS)
        for number in range(400):
            budget.earn(_NODES)
            if number % 10 == 9:
                assert budget.spend(0.1)

    def test_what_is_never_cut_is_repeated_first(self):
        budget = SharedBudget(settings=_SETTINGS)
        made = 0
        others = 0
        for number in range(1000):
            budget.earn(_NODES)
            others += budget.spend(0.5)
            if number % 20 == 0:
                made += budget.spend(MAX_URGENCY)
        assert made / 50 > 3 * others / 1000
