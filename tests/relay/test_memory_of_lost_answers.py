"""Tests that a call whose answer is lost leaves no memory behind.

The garbage collector is off: errors that refer to themselves, by the frames of
their traceback, would hold the bodies of requests for as long as it likes.
"""

import asyncio
import contextlib
import functools
import gc
import tracemalloc

import msgspec
import pytest

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.platform.headers import PLATFORM_HEADERS
from fescueknot.relay.dispatch import HttpDispatcher
from tests.httpio.raw_server import RawServer
from tests.relay.fakes import make_call, run

_MANY = 5
_BODY_BYTES = 1_000_000
_SLACK_BYTES = 100_000
_HALF = b'HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n' + bytes(300_000)
_WHOLE = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
    + f'{PLATFORM_HEADERS.attempt}: c\r\n'.encode()
    + f'{PLATFORM_HEADERS.signature}: s\r\n\r\nok'.encode()
)
_ANSWERS = {
    'none': None,
    'reset': RawServer.RESET,
    'no HTTP': b'\x00\x01garbage\r\n\r\n',
    'half': _HALF,
    'too long': b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
    'another': b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
}


@pytest.fixture(autouse=True)
def _traced_without_collector():
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


class _HalfAnswer(asyncio.Protocol):
    """Sends half an answer and drops what it reads."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        if self._transport is not None:
            self._transport.write(_HALF)
            self._transport = None


class _WholeAnswer(asyncio.Protocol):
    """Answers once the whole request has come; stays open."""

    def connection_made(self, transport):
        self._transport = transport
        self._left_bytes = _BODY_BYTES

    def data_received(self, data):
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self._left_bytes = _BODY_BYTES
            self._transport.write(_WHOLE)


async def _start(protocol):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(protocol, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    return Address(host='127.0.0.1', port=port)


async def _start_raw(answer):
    server = await RawServer(answer, closes=True).start()
    return server.address


def _left_behind_bytes(send, start):
    """Return the memory that each call leaves behind."""

    async def call_once():
        dispatcher = HttpDispatcher(
            address=await start(), header_names=PLATFORM_HEADERS
        )
        request = Request(method='POST', target='/', body=bytes(_BODY_BYTES))
        call = msgspec.structs.replace(make_call('c'), request=request)
        await send(dispatcher, call)
        await asyncio.sleep(0.05)

    async def scenario():
        await call_once()
        before_bytes = tracemalloc.get_traced_memory()[0]
        for _ in range(_MANY):
            await call_once()
        after_bytes = tracemalloc.get_traced_memory()[0]
        return (after_bytes - before_bytes) / _MANY

    return run(scenario)


def _expiring(call, in_s):
    now_s = asyncio.get_running_loop().time()
    return msgspec.structs.replace(call, expires_s=now_s + in_s)


class TestLostAnswers:
    """Calls to the target whose answers are lost."""

    @pytest.mark.parametrize('kind', _ANSWERS)
    def test_the_request_is_freed(self, kind):
        # Guards against uploads that a lost answer's error holds.
        async def send(dispatcher, call):
            reply = await dispatcher.send(_expiring(call, 30))
            assert reply.is_connection_lost

        start = functools.partial(_start_raw, _ANSWERS[kind])
        assert _left_behind_bytes(send, start) < _SLACK_BYTES

    def test_the_request_is_freed_at_its_time_limit(self):
        async def send(dispatcher, call):
            reply = await dispatcher.send(_expiring(call, 0.1))
            assert reply.head.detail == 'no answer in time'

        start = functools.partial(_start, _HalfAnswer)
        assert _left_behind_bytes(send, start) < _SLACK_BYTES

    def test_the_request_is_freed_when_its_caller_leaves(self):
        async def send(dispatcher, call):
            sending = asyncio.ensure_future(
                dispatcher.send(_expiring(call, 30))
            )
            await asyncio.sleep(0.1)
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending

        start = functools.partial(_start, _HalfAnswer)
        assert _left_behind_bytes(send, start) < _SLACK_BYTES


class TestIdleConnections:
    """Connections that wait for their next call."""

    def test_the_request_is_freed_with_its_answer(self):
        # Guards against idle connections that keep their last request.
        kept = []

        async def send(dispatcher, call):
            reply = await dispatcher.send(_expiring(call, 30))
            assert reply.is_success
            kept.append(dispatcher)

        start = functools.partial(_start, _WholeAnswer)
        assert _left_behind_bytes(send, start) < _SLACK_BYTES
