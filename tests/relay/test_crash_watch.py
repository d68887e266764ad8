"""Crashes of a target, told from lost answers."""

import asyncio

from fescueknot.relay.messages import AnswerHead, Ending, Reply
from tests.relay.fakes import (
    ANSWERED,
    GatekeeperSetup,
    make_call,
    run,
    settle,
)

_LOST = Reply(
    head=AnswerHead(ending=Ending.UNKNOWN, detail='connection lost'),
    is_connection_lost=True,
)


def _crashes(setup):
    return [
        details['calls']
        for event, details in setup.observer.events
        if event == 'target.crashed'
    ]


async def _lose_answers(setup, *attempts):
    tasks = setup.start(*map(make_call, attempts))
    await settle()
    setup.dispatcher.release.set()
    return await asyncio.gather(*tasks)


class TestCrashOfTheTarget:
    """Connections that end while the target does not listen."""

    def test_all_calls_in_progress_belong_to_one_crash(self):
        async def scenario():
            setup = GatekeeperSetup(slots=3, reply=_LOST)
            setup.dispatcher.listens = False
            replies = await _lose_answers(setup, 'a', 'b', 'c')
            return _crashes(setup), {reply.head.detail for reply in replies}

        crashes, details = run(scenario)
        assert crashes == [3]
        assert details == {'the target crashed'}

    def test_a_call_that_was_just_broken_off_belongs_to_it(self):
        async def scenario():
            setup = GatekeeperSetup(slots=3, reply=_LOST)
            setup.dispatcher.listens = False
            (left,) = setup.start(make_call('left'))
            await settle()
            left.cancel()
            await settle()
            await _lose_answers(setup, 'a')
            return _crashes(setup)

        assert run(scenario) == [2]

    def test_an_answered_call_does_not_belong_to_it(self):
        async def scenario():
            setup = GatekeeperSetup(slots=3, reply=ANSWERED)
            await _lose_answers(setup, 'answered')
            setup.dispatcher.reply = _LOST
            setup.dispatcher.listens = False
            await _lose_answers(setup, 'a')
            return _crashes(setup)

        assert run(scenario) == [1]


class TestLostAnswer:
    """A lost answer of a target that still listens."""

    def test_is_no_crash(self):
        async def scenario():
            setup = GatekeeperSetup(slots=3, reply=_LOST)
            (reply,) = await _lose_answers(setup, 'a')
            return _crashes(setup), reply.head.ending

        assert run(scenario) == ([], Ending.UNKNOWN)
