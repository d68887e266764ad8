"""The admission gate: order of shedding, queue, deadlines, Retry-After."""

import pytest

from fescueknot.admission.errors import (
    DuplicateTicketError,
    UnknownTicketError,
)
from fescueknot.admission.gate import AdmissionGate
from fescueknot.admission.limit import FixedLimit
from fescueknot.admission.messages import (
    AdmissionRequest,
    Admit,
    Completion,
    CompletionKind,
    RefusalReason,
    Refuse,
    Wait,
)
from fescueknot.admission.queue import QueueSettings, WaitingQueue
from fescueknot.calls import Importance, Outcome

_MIN_SPREAD_S = 0.25
_NO_DECISIONS = ()
_OK = Completion(kind=CompletionKind.OK, service_time_s=0.1)


def _request(number, importance=Importance.NORMAL, **changes):
    fields = {
        'ticket': f't{number}',
        'root_id': f'{number:032x}',
        'caller': 'club',
        'importance': importance,
        'deadline_s': 1000,
    }
    return AdmissionRequest(**{**fields, **changes})


def _full_gate(slots=1):
    gate = AdmissionGate(
        limit=FixedLimit(limit=slots),
        line=WaitingQueue(settings=QueueSettings(unmeasured_capacity=4)),
    )
    for number in range(slots):
        decision = gate.offer(_request(number), 0)
        assert isinstance(decision, Admit)
    return gate


class _MeasuredLimit(FixedLimit):
    """A constant limit whose service time is set."""

    service_s = 0.4

    def typical_s(self):
        return self.service_s


def _refused_by_a_slow_window(**changes):
    """Return how many of 8 critical requests a slow window puts out of line."""
    limit = _MeasuredLimit(limit=4)
    gate = AdmissionGate(limit=limit)
    for number in range(4):
        gate.offer(_request(number), 0)
    for number in range(4, 12):
        request = _request(number, Importance.CRITICAL, **changes)
        assert isinstance(gate.offer(request, 0), Wait)
    limit.service_s = 1
    return len(gate.expire(0.05))


def _order_served(slots):
    gate = _full_gate(slots)
    for number in range(10, 14):
        gate.offer(_request(number), 0)
    served = []
    last = 't0'
    for _ in range(4):
        last = gate.finish(last, _OK, 0.1)[0].ticket
        served.append(last)
    return tuple(served)


class TestOrder:
    """Order in which requests are served and shed."""

    def test_more_important_request_is_served_first(self):
        gate = _full_gate()
        gate.offer(_request(1, Importance.LOW), 0)
        gate.offer(_request(2, Importance.CRITICAL), 0)
        assert gate.finish('t0', _OK, 0.1) == (Admit(ticket='t2'),)

    def test_full_queue_refuses_the_highest_rank(self):
        gate = _full_gate()
        for number in range(1, 5):
            gate.offer(_request(number, Importance.LOW), 0)
        decision = gate.offer(_request(9, Importance.CRITICAL), 0)
        assert isinstance(decision, Wait)
        evicted = gate.expire(0)[0]
        assert isinstance(evicted, Refuse)
        assert evicted.ticket in {'t1', 't2', 't3', 't4'}
        assert evicted.outcome is Outcome.NOT_RUN

    def test_critical_class_is_bounded_by_the_queue(self):
        gate = _full_gate()
        decisions = [
            gate.offer(_request(number, Importance.CRITICAL), number / 1000)
            for number in range(1, 200)
        ]
        waiting = [
            decision for decision in decisions if isinstance(decision, Wait)
        ]
        refused = [
            decision for decision in decisions if isinstance(decision, Refuse)
        ]
        excess = gate.expire(0.2)
        assert len(waiting) - len(excess) == 4
        assert len(refused) + len(waiting) == 199
        reasons = {decision.reason for decision in (*refused, *excess)}
        assert reasons == {RefusalReason.QUEUE_FULL}

    # Guards against critical requests that are put out of line, with 1.5 s
    # left to wait, as the last four requests happened to be slow
    # (tests/traces/entry-opening-surge).
    @pytest.mark.parametrize(
        ('changes', 'refused'),
        [({}, 0), ({'max_wait_s': 1}, 4), ({'depth': 1}, 4)],
    )
    def test_critical_requests_are_in_line_as_long_as_they_may_wait(
        self, changes, refused
    ):
        assert _refused_by_a_slow_window(**changes) == refused

    def test_deeper_hop_is_served_first(self):
        gate = _full_gate()
        same_root = '5' * 32
        gate.offer(_request(1, root_id=same_root), 0)
        gate.offer(_request(2, root_id=same_root, depth=3), 0)
        assert gate.finish('t0', _OK, 0.1) == (Admit(ticket='t2'),)

    def test_gates_agree_on_the_order_of_roots(self):
        orders = {_order_served(slots) for slots in (1, 2, 3)}
        assert len(orders) == 1


class TestTime:
    """Deadlines, maximum queue wait and Retry-After."""

    def test_request_that_cannot_meet_its_deadline_is_refused(self):
        gate = AdmissionGate()
        for number in range(64):
            gate.offer(_request(number), number)
            gate.finish(f't{number}', _OK, number + 0.1)
        decision = gate.offer(_request(99, deadline_s=64.05), 64)
        assert decision.reason is RefusalReason.DEADLINE

    @pytest.mark.parametrize(
        ('accepts_long_wait', 'refused_at_s'), [(False, 0.25), (True, 0.5)]
    )
    def test_queue_wait_is_a_fraction_of_the_time_left(
        self, accepts_long_wait, refused_at_s
    ):
        gate = _full_gate()
        gate.offer(
            _request(1, accepts_long_wait=accepts_long_wait, deadline_s=1), 0
        )
        assert gate.expire(refused_at_s - 0.01) == _NO_DECISIONS
        refusal = gate.expire(refused_at_s)[0]
        assert refusal.reason is RefusalReason.MAX_WAIT

    def test_cancelled_request_is_not_admitted(self):
        gate = _full_gate()
        gate.offer(_request(1), 0)
        gate.cancel('t1', 0)
        assert gate.finish('t0', _OK, 0.1) == _NO_DECISIONS

    def test_retry_after_is_spread(self):
        gate = _full_gate()
        for number in range(1, 5):
            gate.offer(_request(number, Importance.CRITICAL), 0)
        times_s = []
        for number in range(5, 105):
            refusal = gate.offer(_request(number), 0)
            times_s.append(refusal.retry_after_s)
        times_s.sort()
        assert times_s[0] > 0
        assert times_s[75] - times_s[25] > _MIN_SPREAD_S


class TestTickets:
    """Unknown and duplicate tickets."""

    def test_finish_rejects_an_unknown_ticket(self):
        with pytest.raises(UnknownTicketError):
            AdmissionGate().finish('t1', _OK, 0)

    def test_offer_rejects_a_ticket_in_use(self):
        gate = _full_gate()
        with pytest.raises(DuplicateTicketError):
            gate.offer(_request(0), 0)
