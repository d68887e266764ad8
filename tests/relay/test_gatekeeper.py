"""Calls that a gatekeeper sends to its target, and those it refuses."""

import msgspec
import pytest

from fescueknot.calls import Importance
from fescueknot.relay.announcement import Announcement
from fescueknot.relay.messages import (
    AnswerHead,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.runs import Lineage
from fescueknot.targets.messages import TargetState
from tests.relay.fakes import (
    ANSWERED,
    GatekeeperSetup,
    make_announcement,
    make_call,
    run,
    settle,
)


class TestRefusals:
    """Calls refused because of the state of target or node."""

    def test_nothing_is_sent_before_the_target_is_known(self):
        async def scenario():
            setup = GatekeeperSetup(slots=0)
            reply = await setup.gatekeeper.submit(make_call())
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.NO_TARGET, [])

    @pytest.mark.parametrize(
        'changes', [{'instance': 'i-9'}, {'started_ms': 9}]
    )
    def test_a_call_meant_for_another_start_is_not_sent(self, changes):
        async def scenario():
            setup = GatekeeperSetup()
            reply = await setup.gatekeeper.submit(make_call(**changes))
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.OTHER_TARGET, [])

    def test_nothing_is_sent_after_the_target_has_left(self):
        async def scenario():
            setup = GatekeeperSetup(accept_s=0)
            setup.target.receive_heartbeat(
                make_announcement(sequence=2, state=TargetState.DRAINING), 0
            )
            reply = await setup.gatekeeper.submit(make_call())
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.LEAVING, [])

    def test_a_call_still_queued_when_the_target_leaves_is_not_sent(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1, accept_s=0)
            first, second = setup.start(make_call('a'), make_call('b'))
            await settle()
            setup.target.receive_leave('i-1', 0, 10)
            setup.dispatcher.release.set()
            reply = await second
            await first
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.LEAVING, ['a'])

    def test_a_stopping_node_refuses_calls(self):
        async def scenario():
            setup = GatekeeperSetup()
            setup.gatekeeper.stopping = True
            reply = await setup.gatekeeper.submit(make_call())
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.STOPPING, [])


class TestSlots:
    """Slots of the target and the queue for them."""

    def test_calls_in_flight_are_limited_to_the_slots(self):
        async def scenario():
            setup = GatekeeperSetup(slots=2)
            tasks = setup.start(*(make_call(str(index)) for index in range(5)))
            await settle()
            sent = len(setup.dispatcher.sent)
            setup.dispatcher.release.set()
            replies = [await task for task in tasks]
            return sent, {reply.head.ending for reply in replies}

        assert run(scenario) == (2, {Ending.ANSWERED})

    def test_the_most_important_queued_call_is_sent_first(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            first = setup.start(make_call('first'))
            await settle()
            low = make_call('low')
            high = make_call(
                'high',
                lineage=Lineage(root='h', importance=Importance.CRITICAL),
            )
            tasks = setup.start(low, high)
            await settle()
            setup.dispatcher.release.set()
            for task in first + tasks:
                await task
            return setup.dispatcher.sent

        assert run(scenario) == ['first', 'high', 'low']

    def test_a_call_with_zero_max_wait_is_refused_by_a_full_target(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            first = setup.start(make_call('a'))
            await settle()
            reply = await setup.gatekeeper.submit(make_call('b', max_wait_ms=0))
            setup.dispatcher.release.set()
            await first[0]
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.OVERLOAD, ['a'])

    def test_replies_report_limit_and_routes_version(self):
        async def scenario():
            setup = GatekeeperSetup(slots=3)
            setup.dispatcher.release.set()
            reply = await setup.gatekeeper.submit(make_call())
            return reply.head.limit, reply.head.version

        assert run(scenario) == (3, 7)


class TestLeaving:
    """Answers which say that the target leaves."""

    def _reply(self):
        return msgspec.structs.replace(
            ANSWERED, announcement=Announcement(is_leaving=True)
        )

    def test_replies_and_one_report_pass_it_on(self):
        async def scenario():
            setup = GatekeeperSetup(reply=self._reply())
            setup.dispatcher.release.set()
            replies = [
                await setup.gatekeeper.submit(make_call(attempt))
                for attempt in ('a', 'b')
            ]
            heads = [reply.head for reply in replies]
            return [head.is_leaving for head in heads], setup.leaving_reports

        assert run(scenario) == ([True, True], 1)

    def test_nothing_is_sent_after_the_bound(self):
        async def scenario():
            setup = GatekeeperSetup(reply=self._reply(), accept_s=0)
            setup.dispatcher.release.set()
            await setup.gatekeeper.submit(make_call('a'))
            reply = await setup.gatekeeper.submit(make_call('b'))
            return reply.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.LEAVING, ['a'])


class TestRateLimit:
    """Answers that announce a rate limit."""

    def _reply(self):
        return msgspec.structs.replace(
            ANSWERED, announcement=Announcement(rate_limit_per_s=5)
        )

    def test_replies_tell_the_limit_of_the_called_start_only(self):
        async def scenario():
            setup = GatekeeperSetup(reply=self._reply())
            setup.dispatcher.release.set()
            replies = [
                await setup.gatekeeper.submit(make_call('a')),
                await setup.gatekeeper.submit(make_call('b', started_ms=9)),
            ]
            return [reply.head.rate_limit_per_s for reply in replies]

        assert run(scenario) == [5, None]

    def test_a_refusal_by_the_limit_tells_it(self):
        async def scenario():
            setup = GatekeeperSetup(reply=self._reply())
            setup.dispatcher.release.set()
            await setup.gatekeeper.submit(make_call('a'))
            reply = await setup.gatekeeper.submit(make_call('b', max_wait_ms=0))
            head = reply.head
            return head.refused_for, head.detail, head.rate_limit_per_s

        assert run(scenario) == (
            RefusedFor.OVERLOAD,
            'rate limit of the target',
            5,
        )


class TestCancellation:
    """Calls cancelled while they wait or run."""

    def test_a_cancelled_waiting_call_is_never_sent(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            first, second, third = setup.start(
                make_call('a'), make_call('b'), make_call('c')
            )
            await settle()
            second.cancel()
            await settle()
            setup.dispatcher.release.set()
            await first
            await third
            return setup.dispatcher.sent

        assert run(scenario) == ['a', 'c']

    @pytest.mark.parametrize(
        ('index', 'expected'),
        [
            (0, ('gate.sent', {'ending': 'unknown'})),
            (1, ('gate.refused', {'reason': 'the caller left'})),
        ],
    )
    def test_the_log_states_whether_a_cancelled_call_was_sent(
        self, index, expected
    ):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            tasks = setup.start(make_call('a'), make_call('b'))
            await settle()
            tasks[index].cancel()
            await settle()
            return setup.observer.events[-1]

        event, details = run(scenario)
        assert event == expected[0]
        assert details['id'] == 'ab'[index]
        assert details.items() >= expected[1].items()

    def test_cancelling_interrupts_a_running_idempotent_call(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            (first,) = setup.start(make_call('a'))
            await settle()
            first.cancel()
            await settle()
            (second,) = setup.start(make_call('b'))
            await settle()
            setup.dispatcher.release.set()
            await second
            return setup.dispatcher.cancelled, setup.dispatcher.sent

        assert run(scenario) == (['a'], ['a', 'b'])

    def test_a_cancelled_non_idempotent_call_runs_on_and_keeps_its_slot(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            (first,) = setup.start(make_call('a', idempotent=False))
            await settle()
            first.cancel()
            await settle()
            (second,) = setup.start(make_call('b'))
            await settle()
            sent = list(setup.dispatcher.sent)
            setup.dispatcher.release.set()
            await second
            return setup.dispatcher.cancelled, sent, setup.dispatcher.sent

        assert run(scenario) == ([], ['a'], ['a', 'b'])


class TestRestartedTarget:
    """Other instances and new starts of the target."""

    def test_no_calls_go_to_a_target_that_reports_another_instance(self):
        async def scenario():
            reply = Reply(
                head=AnswerHead(
                    ending=Ending.TURNED_AWAY,
                    refused_for=RefusedFor.OTHER_TARGET,
                )
            )
            setup = GatekeeperSetup(reply=reply)
            setup.dispatcher.release.set()
            await setup.gatekeeper.submit(make_call('a'))
            again = await setup.gatekeeper.submit(make_call('b'))
            return again.head.refused_for, setup.dispatcher.sent

        assert run(scenario) == (RefusedFor.NO_TARGET, ['a'])

    def test_calls_queued_for_an_earlier_start_are_refused(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            old, waiting = setup.start(make_call('a'), make_call('b'))
            await settle()
            setup.target.receive_heartbeat(
                make_announcement(started_ms=2, instance='i-2'), 1e12
            )
            (new,) = setup.start(make_call('c', instance='i-2', started_ms=2))
            await settle()
            setup.dispatcher.release.set()
            replies = [await task for task in (old, waiting, new)]
            endings = [reply.head.ending for reply in replies]
            return endings, setup.dispatcher.sent

        endings, sent = run(scenario)
        assert endings == [Ending.ANSWERED, Ending.REFUSED, Ending.ANSWERED]
        assert sent == ['a', 'c']

    def test_a_new_start_gets_a_new_queue(self):
        async def scenario():
            setup = GatekeeperSetup(slots=1)
            (old,) = setup.start(make_call('a', idempotent=False))
            await settle()
            setup.target.receive_heartbeat(
                make_announcement(started_ms=2, instance='i-2'), 1e12
            )
            setup.start(make_call('b', instance='i-2', started_ms=2))
            await settle()
            sent = list(setup.dispatcher.sent)
            setup.dispatcher.release.set()
            await old
            return sent

        assert run(scenario) == ['a', 'b']
