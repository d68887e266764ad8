"""Parents of calls, found by when they expire."""

from hypothesis import given
from hypothesis import strategies as st

from fescueknot.calls import Importance
from fescueknot.relay.runs import Lineage, LocalRuns, Run

_OWN = Lineage(root='own', importance=Importance.HIGH)


def _run(expires_s, root='root', **changes):
    lineage = Lineage(root=root, importance=Importance.CRITICAL, **changes)
    return Run(
        attempt=root, route='submit', lineage=lineage, expires_s=expires_s
    )


def _teach(runs, route, expires_s=1.0):
    for _ in range(3):
        runs.lineage(_OWN, route, expires_s)


class TestParents:
    """Parents."""

    def test_a_call_inherits_root_and_class_of_its_run(self):
        runs = LocalRuns()
        runs.begin(_run(1.0, depth=1))
        found = runs.lineage(_OWN, 'lookup', 1.002)
        assert found == Lineage(
            root='root', importance=Importance.CRITICAL, depth=2
        )

    def test_the_nearest_of_several_runs_is_taken(self):
        runs = LocalRuns()
        for index in range(5):
            runs.begin(_run(1 + index / 200, root=f'r{index}'))
        assert runs.parent_of(1.011).lineage.root == 'r2'

    def test_an_id_after_that_of_a_run_names_the_parent(self):
        runs = LocalRuns()
        runs.begin(_run(1.0, root='r1'))
        own = Lineage(root='r1.c7', importance=Importance.HIGH)
        assert runs.lineage(own, 'lookup', 99).root == 'r1'

    def test_a_run_that_ended_is_no_parent(self):
        runs = LocalRuns()
        runs.end(runs.begin(_run(1.0)))
        assert runs.parent_of(1.0) is None

    def test_a_repeat_is_passed_down(self):
        runs = LocalRuns()
        runs.begin(_run(1.0, repeat=True))
        assert runs.lineage(_OWN, 'lookup', 1.0).repeat

    @given(
        st.lists(st.floats(0, 10), max_size=40),
        st.floats(0, 10),
    )
    def test_it_agrees_with_a_plain_search(self, expiries, wanted):
        runs = LocalRuns()
        for expires_s in expiries:
            runs.begin(_run(expires_s))
        near = [
            abs(wanted - one)
            for one in expiries
            if -0.012 <= one - wanted <= 0.003
        ]
        found = runs.parent_of(wanted)
        assert (found is None) == (not near)
        if found is not None:
            assert abs(found.expires_s - wanted) == min(near)


class TestRoutes:
    """Routes."""

    def test_a_route_of_callers_stays_one_after_a_chance_match(self):
        runs = LocalRuns()
        _teach(runs, 'browse', expires_s=50)
        runs.begin(_run(1.0))
        assert runs.lineage(_OWN, 'browse', 1.0) == _OWN

    def test_a_call_without_its_parent_is_still_a_call(self):
        runs = LocalRuns()
        runs.begin(_run(1.0))
        _teach(runs, 'lookup')
        found = runs.lineage(_OWN, 'lookup', 99)
        assert (found.root, found.depth) == ('own', 1)

    def test_routes_below_are_learned(self):
        runs = LocalRuns()
        runs.begin(_run(1.0))
        _teach(runs, 'lookup')
        assert runs.below('submit') == ('lookup',)
        assert runs.below('lookup') == ()


class TestProgress:
    """How far the run that makes a call has come."""

    def _call(self, runs, number):
        attempt = f'root.{number}'
        own = Lineage(root=attempt, importance=Importance.HIGH)
        runs.lineage(own, 'lookup', 1.0)
        return runs.progress(attempt, 1.0)

    def test_it_is_counted_against_the_calls_that_runs_usually_make(self):
        runs = LocalRuns()
        first = runs.begin(_run(1.0))
        for call in range(4):
            self._call(runs, call)
        runs.end(first)
        runs.begin(_run(1.0))
        found = [self._call(runs, again) for again in range(5)]
        assert found == [0.25, 0.5, 0.75, 1, 1]

    def test_runs_that_end_early_do_not_shorten_it(self):
        runs = LocalRuns()
        for calls in (4, 1, 1):
            number = runs.begin(_run(1.0))
            for call in range(calls):
                self._call(runs, call)
            runs.end(number)
        runs.begin(_run(1.0))
        assert self._call(runs, 0) < 0.3

    def test_a_call_of_no_run_has_come_nowhere(self):
        assert LocalRuns().progress('alone', 1.0) == 0


class TestFailedBelow:
    """Runs whose calls have failed."""

    def test_the_end_tells_it_once(self):
        runs = LocalRuns()
        number = runs.begin(_run(1.0))
        runs.call_failed('root.7', 1.0)
        assert runs.end(number)
        assert not runs.end(runs.begin(_run(1.0)))

    def test_others_are_not_touched(self):
        runs = LocalRuns()
        number = runs.begin(_run(1.0, root='other'))
        runs.begin(_run(2.0))
        runs.call_failed('root.7', 2.0)
        assert not runs.end(number)
