"""Admission and choice of targets under simulated load, without network."""

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
_DURATION_S = 10
_HERE = Place(region='sierra', failure_domain='a')
_FAR = Place(region='costa', failure_domain='c')


class OverloadedTarget:
    """A target that is offered ``overload`` times its capacity.

    ``slowdown`` is the factor on service times when all slots are in use,
    ``spread`` the standard deviation of their logarithms.
    """

    def __init__(
        self,
        *,
        overload,
        critical_fraction,
        levels=SLOT_LEVELS,
        seed=1,
        slots=_SLOTS,
        slowdown=1,
        spread=0,
        limit=None,
        duration_s=_DURATION_S,
    ):
        self._rng = seeded(seed=seed)
        self._slots = slots
        self._slowdown = slowdown
        self._spread = spread
        self._duration_s = duration_s
        self._gate = AdmissionGate(
            limit=limit or SlotLimit(slots=slots),
            levels=LevelController(settings=levels),
            work_conserving=True,
        )
        self._rate_per_s = slots / _SERVICE_S * overload
        self._critical_fraction = critical_fraction
        self._completions = []
        self.slot_busy_s = 0
        self.served = 0
        self.waits_s = []
        self._offered_s = {}
        self.outcomes = collections.Counter()
        self._importances = {}

    def simulate(self):
        now_s = 0
        for number in range(int(self._rate_per_s * self._duration_s)):
            now_s += self._rng.expovariate(self._rate_per_s)
            self._run_until(now_s)
            self._offer(str(number), now_s)
        return self

    def fraction(self, importance, kind):
        offered = sum(
            count
            for (found, _), count in self.outcomes.items()
            if found is importance
        )
        return self.outcomes[importance, kind] / offered

    def utilisation(self):
        return self.slot_busy_s / self._duration_s / self._slots

    def _offer(self, ticket, now_s):
        critical = self._rng.random() < self._critical_fraction
        importance = Importance.CRITICAL if critical else Importance.NORMAL
        self._importances[ticket] = importance
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
        self._apply((decision,), now_s)

    def _run_until(self, now_s):
        while self._completions and self._completions[0][0] <= now_s:
            ended_s, ticket, service_s = heapq.heappop(self._completions)
            self.served += 1
            completion = Completion(
                kind=CompletionKind.OK, service_time_s=service_s
            )
            settled = self._gate.finish(ticket, completion, ended_s)
            self._apply(settled, ended_s)
        self._apply(self._gate.expire(now_s), now_s)

    def _apply(self, decisions, now_s):
        for decision in decisions:
            importance = self._importances.get(decision.ticket)
            if isinstance(decision, Admit):
                service_s = self._service_s()
                self.slot_busy_s += service_s
                self.waits_s.append(now_s - self._offered_s[decision.ticket])
                self.outcomes[importance, 'run'] += 1
                heapq.heappush(
                    self._completions,
                    (now_s + service_s, decision.ticket, service_s),
                )
            elif isinstance(decision, Refuse):
                self.outcomes[importance, 'refused'] += 1

    def _service_s(self):
        service_s = _SERVICE_S * self._rng.lognormvariate(0, self._spread)
        is_full = len(self._completions) + 1 >= self._slots
        return service_s * self._slowdown if is_full else service_s


class TestOverloadedTarget:
    """Target with few slots, offered up to twice its capacity for 10 s."""

    def test_nearly_all_critical_requests_are_served(self):
        target = OverloadedTarget(overload=2, critical_fraction=0.3).simulate()
        assert target.fraction(Importance.CRITICAL, 'run') > 0.97

    @pytest.mark.parametrize(
        ('overload', 'critical_fraction'),
        [(2, 0.3), (2, 0.1), (1.6, 0.1), (1.3, 0.1), (1.1, 0.1)],
    )
    def test_the_target_stays_busy_while_it_sheds(
        self, overload, critical_fraction
    ):
        target = OverloadedTarget(
            overload=overload, critical_fraction=critical_fraction
        )
        assert target.simulate().utilisation() > 0.95

    def test_four_queue_waits_take_less_than_two_service_times(self):
        target = OverloadedTarget(
            overload=1.3, critical_fraction=0.1
        ).simulate()
        assert 4 * statistics.mean(target.waits_s) < 2 * _SERVICE_S

    def test_nothing_is_refused_well_below_capacity(self):
        target = OverloadedTarget(
            overload=0.6, critical_fraction=0.3
        ).simulate()
        assert target.fraction(Importance.NORMAL, 'run') > 0.99


class AllSlotsLimit(SlotLimit):
    """Uses all slots and reserves none."""

    def __init__(self, *, slots):
        super().__init__(slots=slots)
        self._all = slots

    def current(self):
        return self._all


class TestTargetThatSlowsDownWhenFull:
    """Using the last slot slows all requests and lowers the throughput."""

    def _count_served(self, slots, slowdown, limit=None):
        target = OverloadedTarget(
            overload=1.3,
            duration_s=30,
            critical_fraction=0.1,
            slots=slots,
            slowdown=slowdown,
            spread=0.5,
            limit=limit,
        )
        return target.simulate().served

    @pytest.mark.parametrize('slots', [9, 11, 18])
    def test_reserved_slots_raise_the_throughput(self, slots):
        served_with_all_slots = self._count_served(
            slots, 1.3, AllSlotsLimit(slots=slots)
        )
        assert self._count_served(slots, 1.3) > 1.08 * served_with_all_slots

    @pytest.mark.parametrize('slots', [1, 2, 6, 11, 36])
    def test_without_slowdown_the_reserve_costs_little_throughput(self, slots):
        served_with_all_slots = self._count_served(
            slots, 1, AllSlotsLimit(slots=slots)
        )
        assert self._count_served(slots, 1) > 0.97 * served_with_all_slots

    def test_reserved_slots_cause_no_refusals_below_capacity(self):
        target = OverloadedTarget(
            overload=0.6,
            critical_fraction=0.1,
            slots=11,
            slowdown=1.3,
            spread=0.5,
        ).simulate()
        assert target.fraction(Importance.NORMAL, 'run') > 0.99


def _candidate(name, place):
    return Candidate(
        instance=InstanceId(name=name, incarnation=1),
        place=place,
        started_s=-1000,
        slots=_SLOTS,
    )


class TwoTargets:
    """A picker with a nearby target and another target."""

    def __init__(self, *, other=_FAR, path_cost_s=0.12):
        viewpoint = Viewpoint(
            node=InstanceId(name='me', incarnation=1), place=_HERE
        )
        settings = PickerSettings(
            record=RecordSettings(max_fault_load=2, max_report_age_s=10)
        )
        preference = LeastCost(
            settings=CostSettings(
                tier_cost_s={
                    **dict.fromkeys(Tier, 0),
                    Tier.ELSEWHERE: path_cost_s,
                }
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


class TestUnevenlyLoadedRegions:
    """The local region is full, another region has free slots."""

    def test_a_short_queue_keeps_calls_in_the_region(self):
        targets = TwoTargets()
        targets.report('near', waiting=_SLOTS)
        targets.report('other')
        assert targets.picks() == {'near': 200}

    def test_a_long_queue_sends_calls_to_the_other_region(self):
        targets = TwoTargets()
        targets.report('near', waiting=_SLOTS * 5)
        targets.report('other')
        assert targets.picks() == {'other': 200}

    def test_calls_stay_in_the_region_when_both_are_full(self):
        targets = TwoTargets()
        targets.report('near', waiting=_SLOTS * 5)
        targets.report('other', waiting=_SLOTS * 4)
        assert targets.picks() == {'near': 200}


class TestPartlyFailingTarget:
    """A target turns away half of its calls though it reports free slots."""

    def test_it_gets_fewer_calls_than_a_healthy_target(self):
        targets = TwoTargets(other=_HERE)
        for index in range(40):
            kind = ResultKind.TURNED_AWAY if index % 2 else ResultKind.OK
            targets.report('near', kind)
            targets.report('other')
        picks = targets.picks()
        assert picks['near'] < picks['other'] / 4
