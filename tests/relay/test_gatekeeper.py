"""The last gate before a target: what is sent, and what never is."""

import pytest

from fescueknot.calls import Importance
from fescueknot.relay.messages import (
    AnswerHead,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.runs import Lineage
from fescueknot.targets.messages import TargetState
from tests.relay.fakes import Gate, beat, call, run, settle


class TestObjections:
    """Objections."""

    def test_nothing_is_sent_before_the_target_is_known(self):
        async def scenario():
            gate = Gate(slots=0)
            reply = await gate.keeper.run(call())
            return reply.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.NO_TARGET, [])

    @pytest.mark.parametrize(
        'changes', [{'instance': 'i-9'}, {'started_ms': 9}]
    )
    def test_a_call_meant_for_another_start_is_not_sent(self, changes):
        async def scenario():
            gate = Gate()
            reply = await gate.keeper.run(call(**changes))
            return reply.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.OTHER_TARGET, [])

    def test_nothing_is_sent_after_the_target_has_left(self):
        async def scenario():
            gate = Gate(accept_s=0)
            gate.target.receive_heartbeat(
                beat(sequence=2, state=TargetState.DRAINING), 0
            )
            reply = await gate.keeper.run(call())
            return reply.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.LEAVING, [])

    def test_a_call_that_waited_past_the_leaving_is_not_sent(self):
        async def scenario():
            gate = Gate(slots=1, accept_s=0)
            first, second = gate.start(call('a'), call('b'))
            await settle()
            gate.target.receive_leave('i-1', 0, 10)
            gate.dispatcher.go.set()
            reply = await second
            await first
            return reply.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.LEAVING, ['a'])

    def test_a_stopping_node_takes_no_new_call(self):
        async def scenario():
            gate = Gate()
            gate.keeper.stopping = True
            reply = await gate.keeper.run(call())
            return reply.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.STOPPING, [])


class TestSlots:
    """Slots."""

    def test_no_more_are_sent_than_the_target_has_slots(self):
        async def scenario():
            gate = Gate(slots=2)
            calls = gate.start(*(call(str(index)) for index in range(5)))
            await settle()
            sent = len(gate.dispatcher.sent)
            gate.dispatcher.go.set()
            replies = [await one for one in calls]
            return sent, {reply.head.ending for reply in replies}

        assert run(scenario) == (2, {Ending.ANSWERED})

    def test_the_most_important_goes_first(self):
        async def scenario():
            gate = Gate(slots=1)
            first = gate.start(call('first'))
            await settle()
            low = call('low')
            high = call(
                'high',
                lineage=Lineage(root='h', importance=Importance.CRITICAL),
            )
            calls = gate.start(low, high)
            await settle()
            gate.dispatcher.go.set()
            for one in first + calls:
                await one
            return gate.dispatcher.sent

        assert run(scenario) == ['first', 'high', 'low']

    def test_a_call_without_patience_is_refused_at_a_full_target(self):
        async def scenario():
            gate = Gate(slots=1)
            first = gate.start(call('a'))
            await settle()
            reply = await gate.keeper.run(call('b', patience_ms=0))
            gate.dispatcher.go.set()
            await first[0]
            return reply.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.OVERLOAD, ['a'])

    def test_the_load_is_told(self):
        async def scenario():
            gate = Gate(slots=3)
            gate.dispatcher.go.set()
            reply = await gate.keeper.run(call())
            return reply.head.limit, reply.head.version

        assert run(scenario) == (3, 7)


class TestCancelling:
    """Cancelling."""

    def test_a_waiting_call_is_never_sent(self):
        async def scenario():
            gate = Gate(slots=1)
            first, second, third = gate.start(call('a'), call('b'), call('c'))
            await settle()
            second.cancel()
            await settle()
            gate.dispatcher.go.set()
            await first
            await third
            return gate.dispatcher.sent

        assert run(scenario) == ['a', 'c']

    @pytest.mark.parametrize(
        ('index', 'line'),
        [
            (0, ('gate.sent', {'ending': 'unknown'})),
            (1, ('gate.refused', {'reason': 'the caller left'})),
        ],
    )
    def test_the_log_tells_whether_it_was_sent(self, index, line):
        async def scenario():
            gate = Gate(slots=1)
            calls = gate.start(call('a'), call('b'))
            await settle()
            calls[index].cancel()
            await settle()
            return gate.observer.events[-1]

        event, details = run(scenario)
        assert event == line[0]
        assert details['id'] == 'ab'[index]
        assert details.items() >= line[1].items()

    def test_a_sent_idempotent_call_is_cut_off(self):
        async def scenario():
            gate = Gate(slots=1)
            (first,) = gate.start(call('a'))
            await settle()
            first.cancel()
            await settle()
            (second,) = gate.start(call('b'))
            await settle()
            gate.dispatcher.go.set()
            await second
            return gate.dispatcher.cancelled, gate.dispatcher.sent

        assert run(scenario) == (['a'], ['a', 'b'])

    def test_work_that_must_not_repeat_goes_on_and_keeps_its_slot(self):
        async def scenario():
            gate = Gate(slots=1)
            (first,) = gate.start(call('a', idempotent=False))
            await settle()
            first.cancel()
            await settle()
            (second,) = gate.start(call('b'))
            await settle()
            sent = list(gate.dispatcher.sent)
            gate.dispatcher.go.set()
            await second
            return gate.dispatcher.cancelled, sent, gate.dispatcher.sent

        assert run(scenario) == ([], ['a'], ['a', 'b'])


class TestLearning:
    """Learning."""

    def test_a_target_that_says_it_is_another_is_forgotten(self):
        async def scenario():
            reply = Reply(
                head=AnswerHead(
                    ending=Ending.TURNED_AWAY,
                    refused_for=RefusedFor.OTHER_TARGET,
                )
            )
            gate = Gate(reply=reply)
            gate.dispatcher.go.set()
            await gate.keeper.run(call('a'))
            again = await gate.keeper.run(call('b'))
            return again.head.refused_for, gate.dispatcher.sent

        assert run(scenario) == (RefusedFor.NO_TARGET, ['a'])

    def test_calls_that_wait_for_an_earlier_start_are_refused(self):
        async def scenario():
            gate = Gate(slots=1)
            old, waiting = gate.start(call('a'), call('b'))
            await settle()
            gate.target.receive_heartbeat(
                beat(started_ms=2, instance='i-2'), 1e12
            )
            (new,) = gate.start(call('c', instance='i-2', started_ms=2))
            await settle()
            gate.dispatcher.go.set()
            replies = [await one for one in (old, waiting, new)]
            endings = [reply.head.ending for reply in replies]
            return endings, gate.dispatcher.sent

        endings, sent = run(scenario)
        assert endings == [Ending.ANSWERED, Ending.REFUSED, Ending.ANSWERED]
        assert sent == ['a', 'c']

    def test_a_new_start_gets_a_new_gate(self):
        async def scenario():
            gate = Gate(slots=1)
            (old,) = gate.start(call('a', idempotent=False))
            await settle()
            gate.target.receive_heartbeat(
                beat(started_ms=2, instance='i-2'), 1e12
            )
            gate.start(call('b', instance='i-2', started_ms=2))
            await settle()
            sent = list(gate.dispatcher.sent)
            gate.dispatcher.go.set()
            await old
            return sent

        assert run(scenario) == ['a', 'b']
