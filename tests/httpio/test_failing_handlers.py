"""Handlers that fail while other requests of their connection are at work."""

import asyncio

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.response_parser import ResponseParser
from tests.httpio.fake_transport import FakeTransport, NoOpOwner
from tests.relay.simulated_loop import run_simulated


class _Handler(Handler):
    """Works for a second, or fails as the request's target names."""

    def __init__(self):
        self.cancelled = []

    async def answer(self, request, peer):
        try:
            return await _ANSWERS[request.target]()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise

    def may_overlap(self, request):
        return True

    def limits(self):
        return Limits()


async def _work():
    await asyncio.sleep(1)
    return Response(status=200)


async def _fail():
    raise ValueError('a fault')


async def _wait_for_a_cancelled_future():
    shared = asyncio.get_running_loop().create_future()
    shared.cancel()
    await shared


async def _answer_with_other_letters():
    return Response(status=200, headers=(('a', '\u0432'), ('b', '\xe9')))


_ANSWERS = {
    '/letters': _answer_with_other_letters,
    '/work': _work,
    '/fault': _fail,
    '/cancelled': _wait_for_a_cancelled_future,
}


def _get(target):
    return f'GET {target} HTTP/1.1\r\nhost: h\r\n\r\n'.encode()


def _play(*targets):
    """Return the statuses of pipelined requests, and whether all is open."""

    async def scenario():
        handler = _Handler()
        owner = NoOpOwner()
        connection = ServerConnection(handler=handler, owner=owner)
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.data_received(b''.join(map(_get, targets)))
        await asyncio.sleep(3)
        answers = ResponseParser().feed(bytes(transport.written))
        statuses = [answer.status for answer in answers]
        is_open = not transport.is_closing() and b'(end)' not in (
            transport.written
        )
        return statuses, is_open

    return run_simulated(scenario)


@pytest.mark.parametrize('failing', ['/fault', '/cancelled'])
class TestFailingHandlers:
    """A handler that raises, or whose wait is cancelled by others."""

    # Guards against requests that are dropped while targets work on them, as
    # the handler of an earlier one has failed.
    def test_the_others_are_answered(self, failing):
        statuses, is_open = _play('/work', failing, '/work', '/work')
        assert (statuses, is_open) == ([200, 500, 200, 200], True)

    # Guards against a connection that ends without an answer.
    def test_its_own_request_is_answered(self, failing):
        assert _play(failing) == ([500], True)


class TestLettersInHeaders:
    """Headers with letters that are not in the charset of headers."""

    # Guards against an answer that can't be written: its request and those
    # behind it waited until their clients left.
    def test_each_request_is_answered(self):
        assert _play('/letters', '/work') == ([200, 200], True)
