"""The cells of a run, and the configurations that it writes."""

from tools.site_rig.cases import Case, Excuse, Finding, Occasion
from tools.site_rig.records import Outcome, RequestRecord
from tools.stop_matrix.behaviours import BEHAVIOURS
from tools.stop_matrix.field import Change
from tools.stop_matrix.main import TROUBLES
from tools.stop_matrix.summary import count_cells


def lost(attempt: str) -> Finding:
    request = RequestRecord(
        attempt=attempt,
        host='a',
        began_s=1,
        sent_s=1,
        ended_s=2,
        outcome=Outcome.ENDED,
        time_left_s=6,
    )
    return Finding(
        case=Case(request=request),
        occasion=Occasion.TERM,
        excuse=Excuse.NONE,
    )


class TestCells:
    """What is counted together."""

    def test_lost_requests_are_counted_by_behaviour(self):
        found = [lost('kept.1'), lost('kept.2'), lost('calls_3.7')]
        assert count_cells(found) == {
            'kept, SIGTERM': 2,
            'calls_3, SIGTERM': 1,
        }

    def test_calls_of_targets_are_told_apart(self):
        assert count_cells([lost('calls.7-0')]) == {'calls (call), SIGTERM': 1}

    # Ids are split at a dot, calls are known by a dash.
    def test_names_have_neither(self):
        assert not any(set(name) & set('.-') for name in BEHAVIOURS)


class TestChange:
    """What the operator writes."""

    def test_route_moves(self):
        rules = Change(browse='beta').written(1)['listeners'][0]['routeRules']
        moved = {rule['name']: rule['action']['service'] for rule in rules}
        assert moved['browse'] == 'beta'
        assert moved['once'] == 'alpha'

    def test_routes_are_dropped(self):
        rules = Change(dropped=('once',)).written(1)['listeners'][0]
        names = {rule['name'] for rule in rules['routeRules']}
        assert names == {'browse', 'call', 'inner'}

    def test_each_trouble_can_be_chosen(self):
        assert {'calm', 'stop', 'seen_late', 'cut_idle'} <= set(TROUBLES)
