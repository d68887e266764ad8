"""Parents of calls, found by attempt id or expiry."""

from hypothesis import given
from hypothesis import strategies as st

from fescueknot.calls import Importance
from fescueknot.relay.runs import Lineage, LocalRuns, Run

_REQUEST = Lineage(root='own', importance=Importance.HIGH)


def _run(expires_s, root='root', **changes):
    lineage = Lineage(root=root, importance=Importance.CRITICAL, **changes)
    return Run(
        attempt=root, route='submit', lineage=lineage, expires_s=expires_s
    )


def _repeat_on_route(runs, route, expires_s=1.0):
    for _ in range(3):
        runs.inherited_lineage(_REQUEST, route, expires_s)


class TestParents:
    """Parents of calls."""

    def test_a_call_inherits_root_and_class_of_its_run(self):
        runs = LocalRuns()
        runs.begin(_run(1.0, depth=1))
        found = runs.inherited_lineage(_REQUEST, 'lookup', 1.002)
        assert found == Lineage(
            root='root', importance=Importance.CRITICAL, depth=2
        )

    def test_the_run_with_the_nearest_expiry_is_found(self):
        runs = LocalRuns()
        for index in range(5):
            runs.begin(_run(1 + index / 200, root=f'r{index}'))
        assert runs.run_expiring_near(1.011).lineage.root == 'r2'

    def test_an_attempt_id_derived_from_a_run_names_the_parent(self):
        runs = LocalRuns()
        runs.begin(_run(1.0, root='r1'))
        root_lineage = Lineage(root='r1.c7', importance=Importance.HIGH)
        assert runs.inherited_lineage(root_lineage, 'lookup', 99).root == 'r1'

    def test_a_run_that_ended_is_no_parent(self):
        runs = LocalRuns()
        runs.end(runs.begin(_run(1.0)))
        assert runs.run_expiring_near(1.0) is None

    def test_the_repeat_mark_is_inherited(self):
        runs = LocalRuns()
        runs.begin(_run(1.0, repeat=True))
        assert runs.inherited_lineage(_REQUEST, 'lookup', 1.0).repeat

    @given(
        st.lists(st.floats(0, 10), max_size=40),
        st.floats(0, 10),
    )
    def test_the_nearest_expiry_agrees_with_a_linear_search(
        self, expiries, wanted
    ):
        runs = LocalRuns()
        for expires_s in expiries:
            runs.begin(_run(expires_s))
        near = [
            abs(wanted - expiry)
            for expiry in expiries
            if -0.012 <= expiry - wanted <= 0.003
        ]
        found = runs.run_expiring_near(wanted)
        assert (found is None) == (not near)
        if found is not None:
            assert abs(found.expires_s - wanted) == min(near)


class TestRoutes:
    """Routes classified as used by callers or by runs."""

    def test_a_chance_match_does_not_reclassify_a_route_of_callers(self):
        runs = LocalRuns()
        _repeat_on_route(runs, 'browse', expires_s=50)
        runs.begin(_run(1.0))
        assert runs.inherited_lineage(_REQUEST, 'browse', 1.0) == _REQUEST

    def test_a_call_whose_parent_is_unknown_has_depth_one(self):
        runs = LocalRuns()
        runs.begin(_run(1.0))
        _repeat_on_route(runs, 'lookup')
        found = runs.inherited_lineage(_REQUEST, 'lookup', 99)
        assert (found.root, found.depth) == ('own', 1)

    def test_downstream_routes_are_recorded(self):
        runs = LocalRuns()
        runs.begin(_run(1.0))
        _repeat_on_route(runs, 'lookup')
        assert runs.downstream_routes('submit') == ('lookup',)
        assert runs.downstream_routes('lookup') == ()


class TestProgress:
    """Progress of the run that makes a call."""

    def _call(self, runs, number):
        attempt = f'root.{number}'
        root_lineage = Lineage(root=attempt, importance=Importance.HIGH)
        runs.inherited_lineage(root_lineage, 'lookup', 1.0)
        return runs.progress(attempt, 1.0)

    def test_progress_is_relative_to_the_calls_of_earlier_runs(self):
        runs = LocalRuns()
        run_id = runs.begin(_run(1.0))
        for call in range(4):
            self._call(runs, call)
        runs.end(run_id)
        runs.begin(_run(1.0))
        found = [self._call(runs, again) for again in range(5)]
        assert found == [0.25, 0.5, 0.75, 1, 1]

    def test_runs_that_make_fewer_calls_hardly_lower_the_maximum(self):
        runs = LocalRuns()
        for calls in (4, 1, 1):
            run_id = runs.begin(_run(1.0))
            for call in range(calls):
                self._call(runs, call)
            runs.end(run_id)
        runs.begin(_run(1.0))
        assert self._call(runs, 0) < 0.3

    def test_a_call_without_a_run_has_no_progress(self):
        assert LocalRuns().progress('alone', 1.0) == 0


class TestFailedCalls:
    """Runs that made a call that failed."""

    def test_a_failed_call_is_reported_once(self):
        runs = LocalRuns()
        run_id = runs.begin(_run(1.0))
        runs.record_failed_call('root.7', 1.0)
        assert runs.end(run_id)
        assert not runs.end(runs.begin(_run(1.0)))

    def test_other_runs_are_not_affected(self):
        runs = LocalRuns()
        run_id = runs.begin(_run(1.0, root='other'))
        runs.begin(_run(2.0))
        runs.record_failed_call('root.7', 2.0)
        assert not runs.end(run_id)
