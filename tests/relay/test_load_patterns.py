"""Load patterns of heavy days, played on the decisions without network."""

import collections
import heapq
import statistics

import pytest

from fescueknot.admission.gate import AdmissionGate
from fescueknot.admission.levels import LevelController
from fescueknot.admission.messages import (
    AdmissionRequest,
    Admit,
    Completion,
    CompletionKind,
    Refuse,
)
from fescueknot.calls import Importance
from fescueknot.identity import InstanceId, Place
from fescueknot.randomness import seeded
from fescueknot.relay.slot_limit import SlotLimit
from fescueknot.relay.slot_line import SLOT_LEVELS
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    LoadReport,
    ResultKind,
    Tier,
)
from fescueknot.routing.picker import PickerSettings, TargetPicker
from fescueknot.routing.preference import CostSettings, LeastCost
from fescueknot.routing.record import RecordSettings
from fescueknot.routing.subset import Viewpoint

_SLOTS = 6
_SERVICE_S = 0.03
_CAPACITY_PER_S = _SLOTS / _SERVICE_S
_PLAYED_S = 10
_HERE = Place(region='sierra', failure_domain='a')
_FAR = Place(region='costa', failure_domain='c')


class ScarceLeaf:
    """A leaf with few slots that is offered more than it can do."""

    def __init__(self, *, overload, critical_share, levels=SLOT_LEVELS, seed=1):
        self._rng = seeded(seed=seed)
        self._gate = AdmissionGate(
            limit=SlotLimit(slots=_SLOTS),
            levels=LevelController(settings=levels),
            work_conserving=True,
        )
        self._rate_per_s = _CAPACITY_PER_S * overload
        self._critical_share = critical_share
        self._ends = []
        self.busy_s = 0
        self.waited_s = []
        self._offered_s = {}
        self.outcomes = collections.Counter()
        self._class_of = {}

    def play(self):
        now_s = 0
        for number in range(int(self._rate_per_s * _PLAYED_S)):
            now_s += self._rng.expovariate(self._rate_per_s)
            self._run_until(now_s)
            self._offer(str(number), now_s)
        return self

    def share(self, importance, kind):
        offered = sum(
            count
            for (found, _), count in self.outcomes.items()
            if found is importance
        )
        return self.outcomes[importance, kind] / offered

    def utilisation(self):
        return self.busy_s / _PLAYED_S / _SLOTS

    def _offer(self, ticket, now_s):
        critical = self._rng.random() < self._critical_share
        importance = Importance.CRITICAL if critical else Importance.NORMAL
        self._class_of[ticket] = importance
        self._offered_s[ticket] = now_s
        decision = self._gate.offer(
            AdmissionRequest(
                ticket=ticket,
                root_id=ticket,
                caller='desk',
                importance=importance,
                deadline_s=now_s + 0.8,
                patience_s=0.4 if critical else 0.1,
            ),
            now_s,
        )
        self._take((decision,), now_s)

    def _run_until(self, now_s):
        while self._ends and self._ends[0][0] <= now_s:
            ended_s, ticket = heapq.heappop(self._ends)
            completion = Completion(
                kind=CompletionKind.OK, service_time_s=_SERVICE_S
            )
            settled = self._gate.finish(ticket, completion, ended_s)
            self._take(settled, ended_s)
        self._take(self._gate.expire(now_s), now_s)

    def _take(self, settled, now_s):
        for one in settled:
            importance = self._class_of.get(one.ticket)
            if isinstance(one, Admit):
                self.busy_s += _SERVICE_S
                self.waited_s.append(now_s - self._offered_s[one.ticket])
                self.outcomes[importance, 'run'] += 1
                heapq.heappush(self._ends, (now_s + _SERVICE_S, one.ticket))
            elif isinstance(one, Refuse):
                self.outcomes[importance, 'refused'] += 1


class TestSurgeAtAScarceLeaf:
    """Twice the capacity for ten seconds."""

    def test_the_most_important_are_all_served(self):
        leaf = ScarceLeaf(overload=2, critical_share=0.3).play()
        assert leaf.share(Importance.CRITICAL, 'run') > 0.97

    @pytest.mark.parametrize(
        ('overload', 'critical_share'),
        [(2, 0.3), (2, 0.1), (1.6, 0.1), (1.3, 0.1), (1.1, 0.1)],
    )
    def test_the_leaf_is_never_idle_meanwhile(self, overload, critical_share):
        leaf = ScarceLeaf(overload=overload, critical_share=critical_share)
        assert leaf.play().utilisation() > 0.95

    def test_four_calls_in_a_row_wait_less_than_two_are_served(self):
        leaf = ScarceLeaf(overload=1.3, critical_share=0.1).play()
        assert 4 * statistics.mean(leaf.waited_s) < 2 * _SERVICE_S

    def test_no_one_is_refused_well_below_capacity(self):
        leaf = ScarceLeaf(overload=0.6, critical_share=0.3).play()
        assert leaf.share(Importance.NORMAL, 'run') > 0.99


def _candidate(name, place):
    return Candidate(
        instance=InstanceId(name=name, incarnation=1),
        place=place,
        started_s=-1000,
        slots=_SLOTS,
    )


class TwoTargets:
    """A picker with a near target and another one."""

    def __init__(self, *, other=_FAR, way_s=0.12):
        viewpoint = Viewpoint(
            node=InstanceId(name='me', incarnation=1), place=_HERE
        )
        settings = PickerSettings(
            record=RecordSettings(load_of_all_faults=2, report_fresh_s=10)
        )
        preference = LeastCost(
            settings=CostSettings(
                way_s={**dict.fromkeys(Tier, 0), Tier.ELSEWHERE: way_s}
            )
        )
        self._picker = TargetPicker(
            viewpoint=viewpoint, settings=settings, preference=preference
        )
        self._picker.update(
            (_candidate('near', _HERE), _candidate('other', other))
        )
        self._rng = seeded(seed=1)

    def report(self, name, kind=ResultKind.OK, waiting=0):
        instance = InstanceId(name=name, incarnation=1)
        self._picker.started(instance)
        report = LoadReport(
            limit=_SLOTS,
            in_flight=_SLOTS if waiting else 0,
            waiting=waiting,
            level_rank=4,
            service_s=_SERVICE_S,
        )
        self._picker.finished(
            instance,
            CallResult(kind=kind, latency_s=_SERVICE_S, report=report),
            0,
        )

    def picks(self, count=200):
        return collections.Counter(
            self._picker.pick(0, self._rng).instance.name for _ in range(count)
        )


class TestUnevenRegions:
    """The own region is full, another one has room."""

    def test_a_short_wait_is_no_reason_to_leave_the_region(self):
        targets = TwoTargets()
        targets.report('near', waiting=_SLOTS)
        targets.report('other')
        assert targets.picks() == {'near': 200}

    def test_a_long_wait_is(self):
        targets = TwoTargets()
        targets.report('near', waiting=_SLOTS * 5)
        targets.report('other')
        assert targets.picks() == {'other': 200}

    def test_calls_stay_near_when_both_are_full(self):
        targets = TwoTargets()
        targets.report('near', waiting=_SLOTS * 5)
        targets.report('other', waiting=_SLOTS * 4)
        assert targets.picks() == {'near': 200}


class TestGreyTarget:
    """A target fails half of its calls while its health looks good."""

    def test_it_gets_fewer_calls_than_a_sound_one(self):
        targets = TwoTargets(other=_HERE)
        for index in range(40):
            kind = ResultKind.TURNED_AWAY if index % 2 else ResultKind.OK
            targets.report('near', kind)
            targets.report('other')
        picks = targets.picks()
        assert picks['near'] < picks['other'] / 4
