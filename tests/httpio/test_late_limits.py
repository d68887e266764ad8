"""Answers that arrive in the turn in which their time limit acts."""

import asyncio
import select
import socket

import msgspec
import pytest

from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import NotSentError
from fescueknot.httpio.late_limits import late_limit, late_limit_at
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.platform.headers import PLATFORM_HEADERS
from fescueknot.relay.answer_times import AnswerDeadlines
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.messages import Ending
from tests.relay.fakes import make_call
from tests.relay.simulated_loop import run_simulated

_LIMIT_S = 1
_STANDSTILL_S = 5
_MAX_TURNS = 30
_REQUEST = Request(method='GET', target='/')


def _stand_still():
    """Let time pass in which the process does nothing."""
    asyncio.get_running_loop()._polling.now_s += _STANDSTILL_S


class _Target:
    """A listening socket whose answer comes while the process stands still."""

    def __init__(self):
        self._listening = socket.create_server(('127.0.0.1', 0))
        host, port = self._listening.getsockname()
        self.address = Address(host=host, port=port)

    async def answer(self):
        """Answer the request that has come, then let the time pass."""
        while not _is_readable(self._listening):
            await asyncio.sleep(0)
        connection, _ = self._listening.accept()
        while not _is_readable(connection):
            await asyncio.sleep(0)
        connection.recv(65536)
        answer = (
            f'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            f'{PLATFORM_HEADERS.attempt}: c\r\n'
            f'{PLATFORM_HEADERS.signature}: s\r\n\r\nok'
        )
        connection.sendall(answer.encode())
        connection.close()
        self.close()
        _stand_still()

    def close(self):
        self._listening.close()


def _is_readable(sock):
    return bool(select.select([sock.fileno()], [], [], 0)[0])


class TestAnswers:
    """Answers that lie in the kernel when their time is over."""

    def test_a_caller_gets_it(self):
        # Guards against a 504 for work that has run, after a standstill.
        async def scenario():
            target = _Target()
            answering = asyncio.create_task(target.answer())
            deadlines = AnswerDeadlines()
            async with deadlines.timeout(deadlines.times(_LIMIT_S)):
                response = await Client(address=target.address).exchange(
                    _REQUEST
                )
            await answering
            return response.status

        assert run_simulated(scenario) == 200

    def test_a_target_has_answered(self):
        # Guards against the same at the target's node.
        async def scenario():
            target = _Target()
            answering = asyncio.create_task(target.answer())
            dispatcher = HttpDispatcher(
                address=target.address, header_names=PLATFORM_HEADERS
            )
            call = msgspec.structs.replace(make_call('c'), expires_s=_LIMIT_S)
            reply = await dispatcher.send(call)
            await answering
            return reply.head.ending

        assert run_simulated(scenario) is Ending.ANSWERED

    def test_a_connection_that_is_there_counts(self):
        # Guards against a connect that the kernel has completed taken for a
        # host that does not answer.
        async def scenario():
            target = _Target()
            client = Client(
                address=target.address,
                settings=ClientSettings(connect_timeout_s=_LIMIT_S),
            )
            probing = asyncio.create_task(client.probe())
            await asyncio.sleep(0)
            _stand_still()
            await probing
            client.close()
            target.close()
            return client.connections_opened

        assert run_simulated(scenario) == 1

    def test_a_connect_still_has_a_limit(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            loop.create_connection = _never
            client = Client(
                address=Address(host='127.0.0.1', port=1),
                settings=ClientSettings(connect_timeout_s=_LIMIT_S),
            )
            with pytest.raises(NotSentError):
                await client.probe()
            return loop.time()

        assert run_simulated(scenario) == _LIMIT_S


class TestLimit:
    """The limit itself."""

    @pytest.mark.parametrize('tasks', [0, 1, 3])
    def test_an_answer_of_the_same_turn_is_kept(self, tasks):
        # Guards against an answer that is on its way from task to task.
        async def scenario():
            loop = asyncio.get_running_loop()
            answer = loop.create_future()
            loop.call_at(_LIMIT_S, answer.set_result, 'answer')
            async with late_limit(_LIMIT_S):
                return await _passed_on(answer, tasks)

        assert run_simulated(scenario) == 'answer'

    def test_a_wait_without_an_answer_ends(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            with pytest.raises(TimeoutError):
                async with late_limit(_LIMIT_S):
                    await loop.create_future()
            return loop.time()

        assert run_simulated(scenario) == _LIMIT_S

    def test_what_would_begin_too_late_does_not(self):
        # Guards against calls that are sent on once their time is over.
        async def scenario():
            turns = []
            with pytest.raises(TimeoutError):
                await _limited(lambda: _count_turns(turns), at_s=0)
            return turns

        assert not run_simulated(scenario)

    def test_a_cancellation_from_outside_stays_one(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            waiting = loop.create_task(_wait_with_limit())
            await asyncio.sleep(0)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting

        run_simulated(scenario)

    @pytest.mark.parametrize(
        ('moved_to_s', 'ends_at_s'), [(0.5, 0.5), (2, _LIMIT_S)]
    )
    def test_it_moves_ahead_only(self, moved_to_s, ends_at_s):
        async def scenario():
            loop = asyncio.get_running_loop()
            with pytest.raises(TimeoutError):
                await _limited(loop.create_future, moved_to_s=moved_to_s)
            return loop.time()

        assert run_simulated(scenario) == ends_at_s

    def test_it_moves_no_more_once_it_acts(self):
        # Guards against an error of the stop, which moves all limits.
        async def scenario():
            with pytest.raises(TimeoutError):
                await _move_while_acting()
            return asyncio.get_running_loop().time()

        assert run_simulated(scenario) == 2 * _LIMIT_S


async def _limited(waiting, *, at_s=_LIMIT_S, moved_to_s=_LIMIT_S):
    async with late_limit_at(at_s) as limit:
        limit.move_ahead(moved_to_s)
        await waiting()


async def _count_turns(turns):
    while len(turns) < _MAX_TURNS:
        await asyncio.sleep(0)
        turns.append(1)


async def _move_while_acting():
    async with late_limit_at(_LIMIT_S) as limit:
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            limit.move_ahead(0)
            await asyncio.sleep(_LIMIT_S)


async def _wait_with_limit():
    async with late_limit(_LIMIT_S):
        await asyncio.get_running_loop().create_future()


async def _passed_on(answer, tasks):
    """Wait for an answer through a chain of tasks."""
    if not tasks:
        return await answer
    return await asyncio.create_task(_passed_on(answer, tasks - 1))


async def _never(*unused):
    await asyncio.get_running_loop().create_future()
