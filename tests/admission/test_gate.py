"""The admission gate: order of shedding, line, deadlines, answers."""

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
from fescueknot.admission.queue import LineSettings, WaitingLine
from fescueknot.calls import Importance, Outcome

_LEAST_SPREAD_S = 0.25
_NOTHING = ()
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
        line=WaitingLine(settings=LineSettings(longest_unmeasured=4)),
    )
    for number in range(slots):
        decision = gate.offer(_request(number), 0)
        assert isinstance(decision, Admit)
    return gate


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
    """Who is served and who is shed."""

    def test_important_ones_are_served_first(self):
        gate = _full_gate()
        gate.offer(_request(1, Importance.LOW), 0)
        gate.offer(_request(2, Importance.CRITICAL), 0)
        assert gate.finish('t0', _OK, 0.1) == (Admit(ticket='t2'),)

    def test_the_weakest_claim_leaves_a_full_line(self):
        gate = _full_gate()
        for number in range(1, 5):
            gate.offer(_request(number, Importance.LOW), 0)
        decision = gate.offer(_request(9, Importance.CRITICAL), 0)
        assert isinstance(decision, Wait)
        evicted = gate.expire(0)[0]
        assert isinstance(evicted, Refuse)
        assert evicted.ticket in {'t1', 't2', 't3', 't4'}
        assert evicted.outcome is Outcome.NOT_RUN

    def test_the_first_class_is_bounded_by_its_line(self):
        gate = _full_gate()
        decisions = [
            gate.offer(_request(number, Importance.CRITICAL), number / 1000)
            for number in range(1, 200)
        ]
        waiting = [one for one in decisions if isinstance(one, Wait)]
        refused = [one for one in decisions if isinstance(one, Refuse)]
        excess = gate.expire(0.2)
        assert len(waiting) - len(excess) == 4
        assert len(refused) + len(waiting) == 199
        reasons = {one.reason for one in (*refused, *excess)}
        assert reasons == {RefusalReason.QUEUE}

    def test_invested_work_deepens_the_claim(self):
        gate = _full_gate()
        same_root = '5' * 32
        gate.offer(_request(1, root_id=same_root), 0)
        gate.offer(_request(2, root_id=same_root, depth=3), 0)
        assert gate.finish('t0', _OK, 0.1) == (Admit(ticket='t2'),)

    def test_gates_agree_on_the_fate_of_a_root(self):
        orders = {_order_served(slots) for slots in (1, 2, 3)}
        assert len(orders) == 1


class TestTime:
    """Deadlines, patience and final answers."""

    def test_a_hopeless_deadline_is_refused_at_once(self):
        gate = AdmissionGate()
        for number in range(64):
            gate.offer(_request(number), number)
            gate.finish(f't{number}', _OK, number + 0.1)
        decision = gate.offer(_request(99, deadline_s=64.05), 64)
        assert decision.reason is RefusalReason.DEADLINE

    @pytest.mark.parametrize(
        ('patient', 'refused_at_s'), [(False, 0.25), (True, 0.5)]
    )
    def test_nobody_is_held_until_near_the_deadline(
        self, patient, refused_at_s
    ):
        gate = _full_gate()
        gate.offer(_request(1, accepts_long_wait=patient, deadline_s=1), 0)
        assert gate.expire(refused_at_s - 0.01) == _NOTHING
        refusal = gate.expire(refused_at_s)[0]
        assert refusal.reason is RefusalReason.PATIENCE

    def test_a_caller_that_left_is_not_served(self):
        gate = _full_gate()
        gate.offer(_request(1), 0)
        gate.cancel('t1', 0)
        assert gate.finish('t0', _OK, 0.1) == _NOTHING

    def test_return_times_are_spread(self):
        gate = _full_gate()
        for number in range(1, 5):
            gate.offer(_request(number, Importance.CRITICAL), 0)
        times_s = []
        for number in range(5, 105):
            refusal = gate.offer(_request(number), 0)
            times_s.append(refusal.retry_after_s)
        times_s.sort()
        assert times_s[0] > 0
        assert times_s[75] - times_s[25] > _LEAST_SPREAD_S


class TestTickets:
    """Wrong use."""

    def test_an_unknown_ticket_cannot_finish(self):
        with pytest.raises(UnknownTicketError):
            AdmissionGate().finish('t1', _OK, 0)

    def test_a_ticket_in_use_cannot_be_offered(self):
        gate = _full_gate()
        with pytest.raises(DuplicateTicketError):
            gate.offer(_request(0), 0)
