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
from fescueknot.relay.slot_queue import SLOT_LEVELS
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
_PLAYED_S = 10
_HERE = Place(region='sierra', failure_domain='a')
_FAR = Place(region='costa', failure_domain='c')


class ScarceLeaf:
    """A leaf with few slots that is offered more than it can do.

    ``slowed`` is how much longer it takes when all slots are in use.
    """

    def __init__(
        self,
        *,
        overload,
        critical_share,
        levels=SLOT_LEVELS,
        seed=1,
        slots=_SLOTS,
        slowed=1,
        spread=0,
        limit=None,
        played_s=_PLAYED_S,
    ):
        self._rng = seeded(seed=seed)
        self._slots = slots
        self._slowed = slowed
        self._spread = spread
        self._played_s = played_s
        self._gate = AdmissionGate(
            limit=limit or SlotLimit(slots=slots),
            levels=LevelController(settings=levels),
            work_conserving=True,
        )
        self._rate_per_s = slots / _SERVICE_S * overload
        self._critical_share = critical_share
        self._ends = []
        self.busy_s = 0
        self.served = 0
        self.waited_s = []
        self._offered_s = {}
        self.outcomes = collections.Counter()
        self._class_of = {}

    def play(self):
        now_s = 0
        for number in range(int(self._rate_per_s * self._played_s)):
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
        return self.busy_s / self._played_s / self._slots

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
                max_wait_s=0.4 if critical else 0.1,
            ),
            now_s,
        )
        self._take((decision,), now_s)

    def _run_until(self, now_s):
        while self._ends and self._ends[0][0] <= now_s:
            ended_s, ticket, took_s = heapq.heappop(self._ends)
            self.served += 1
            completion = Completion(
                kind=CompletionKind.OK, service_time_s=took_s
            )
            settled = self._gate.finish(ticket, completion, ended_s)
            self._take(settled, ended_s)
        self._take(self._gate.expire(now_s), now_s)

    def _take(self, settled, now_s):
        for one in settled:
            importance = self._class_of.get(one.ticket)
            if isinstance(one, Admit):
                took_s = self._service_s()
                self.busy_s += took_s
                self.waited_s.append(now_s - self._offered_s[one.ticket])
                self.outcomes[importance, 'run'] += 1
                heapq.heappush(self._ends, (now_s + took_s, one.ticket, took_s))
            elif isinstance(one, Refuse):
                self.outcomes[importance, 'refused'] += 1

    def _service_s(self):
        took_s = _SERVICE_S * self._rng.lognormvariate(0, self._spread)
        full = len(self._ends) + 1 >= self._slots
        return took_s * self._slowed if full else took_s


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


class AllSlots(SlotLimit):
    """Uses all slots, whatever that costs."""

    def __init__(self, *, slots):
        super().__init__(slots=slots)
        self._all = slots

    def current(self):
        return self._all


class TestLeafThatSlowsWhenNearlyFull:
    """The last slot makes all that run slower than it is worth."""

    def _served(self, slots, slowed, limit=None):
        leaf = ScarceLeaf(
            overload=1.3,
            played_s=30,
            critical_share=0.1,
            slots=slots,
            slowed=slowed,
            spread=0.5,
            limit=limit,
        )
        return leaf.play().served

    @pytest.mark.parametrize('slots', [9, 11, 18])
    def test_a_slot_is_left_free_and_more_is_served(self, slots):
        naive = self._served(slots, 1.3, AllSlots(slots=slots))
        assert self._served(slots, 1.3) > 1.08 * naive

    @pytest.mark.parametrize('slots', [1, 2, 6, 11, 36])
    def test_one_that_does_not_slow_uses_all_slots(self, slots):
        naive = self._served(slots, 1, AllSlots(slots=slots))
        assert self._served(slots, 1) > 0.97 * naive

    def test_nothing_is_refused_for_it_below_capacity(self):
        leaf = ScarceLeaf(
            overload=0.6,
            critical_share=0.1,
            slots=11,
            slowed=1.3,
            spread=0.5,
        ).play()
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
            record=RecordSettings(max_fault_load=2, max_report_age_s=10)
        )
        preference = LeastCost(
            settings=CostSettings(
                tier_cost_s={**dict.fromkeys(Tier, 0), Tier.ELSEWHERE: way_s}
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
