"""Tests that memory is free once the books say so.

The garbage collector is off: what only it could free would be held for as
long as it likes, while the budget has given the room to others.
"""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.client_connection import (
    ClientConnection,
    ClientSettings,
)
from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.errors import AnswerLostError
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from tests.httpio.fake_transport import FakeTransport, NoOpOwner

_BODY_BYTES = 2_000_000
_PIECE_BYTES = 65_536
_MANY = 5
# A connection's own objects, for as long as the test keeps it, and those that
# wait for the collector; each message takes far more.
_SLACK_BYTES = 20_000
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_LENGTH = b'Content-Length: 1999999\r\n\r\n'
_LONG_PIECE = b'x' * 16_384
_HEADERS = b''.join(b'X%d: %d\r\n' % (one, one) for one in range(1500))
# What a server or client sends first, and again and again behind it.
_RESPONSES = {
    'no HTTP': (b'', b'\x00\xff'),
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'one header': (_OK + b'X: ', b'x'),
    'many headers': (_OK, _HEADERS),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body until the close': (_OK + b'\r\n', _LONG_PIECE),
    'chunks of one byte': (_OK + _CHUNKED, b'1\r\nx\r\n'),
    'long chunks': (_OK + _CHUNKED, b'4000\r\n' + _LONG_PIECE + b'\r\n'),
    'chunk extension': (_OK + _CHUNKED + b'1;', b'x'),
    'size of a chunk': (_OK + _CHUNKED, b'0'),
    'trailers': (_OK + _CHUNKED + b'0\r\n', _HEADERS),
    'one trailer': (_OK + _CHUNKED + b'0\r\nX: ', b'y'),
    'broken chunk behind others': (
        _OK + _CHUNKED,
        (b'4000\r\n' + _LONG_PIECE + b'\r\n') * 40 + b'no size\r\n',
    ),
}
_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'
_REQUESTS = {
    'no HTTP': (b'', b'\x00\xff'),
    'request line': (b'GET /', b'x'),
    'one header': (_HEAD + b'X: ', b'x'),
    'many headers': (_HEAD, _HEADERS),
    'long chunks': (_HEAD + _CHUNKED, b'4000\r\n' + _LONG_PIECE + b'\r\n'),
    'chunk extension': (_HEAD + _CHUNKED + b'1;', b'x'),
    'trailers': (_HEAD + _CHUNKED + b'0\r\n', _HEADERS),
    'broken chunk behind others': (
        _HEAD + _CHUNKED,
        (b'4000\r\n' + _LONG_PIECE + b'\r\n') * 40 + b'no size\r\n',
    ),
}
_REQUEST = Request(method='GET', target='/')


@pytest.fixture(autouse=True)
def _no_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture(autouse=True)
def _traced(_no_collector):
    tracemalloc.start()
    yield
    tracemalloc.stop()


def _traced_bytes():
    return tracemalloc.get_traced_memory()[0]


def _run(scenario):
    """Return how many bytes each run of a scenario leaves behind."""

    async def repeat():
        # Caches of the interpreter are filled first.
        kept = [await scenario()]
        before_bytes = _traced_bytes()
        for _ in range(_MANY):
            kept.append(await scenario())
        held_bytes = _traced_bytes() - before_bytes
        return held_bytes / _MANY

    return asyncio.run(asyncio.wait_for(repeat(), 60))


async def _turn():
    """Let what is ready run."""
    for _ in range(5):
        await asyncio.sleep(0)


class _Exchange:
    """A request on a connection without a network, in progress.

    It is kept by the tests, as an error or a log may keep it.
    """

    def __init__(self, *, is_accepted=True):
        self.buffers = BufferBudget()
        self.transport = FakeTransport()
        self.connection = ClientConnection(
            settings=ClientSettings(body_bytes=_BODY_BYTES),
            buffers=self.buffers,
        )
        self.connection.connection_made(self.transport)
        self.task = asyncio.ensure_future(
            self.connection.exchange(_REQUEST, lambda _: is_accepted)
        )

    async def receive(self, *pieces):
        """Receive until the connection is aborted."""
        await _turn()
        for piece in pieces:
            for start in range(0, len(piece), _PIECE_BYTES):
                if self.transport.is_closing():
                    return
                self.connection.data_received(
                    piece[start : start + _PIECE_BYTES]
                )

    async def receive_for_ever(self, begin, again):
        repeated = again * max(1, _PIECE_BYTES // len(again))
        await self.receive(begin)
        for _ in range(200):
            await self.receive(repeated)
        assert self.transport.is_closing()

    async def end(self, error=None):
        """End the connection; return this, with the error of the exchange."""
        self.connection.connection_lost(error)
        await asyncio.wait((self.task,))
        assert not self.buffers.used_bytes
        return self

    def fails(self):
        return isinstance(self.task.exception(), AnswerLostError)


class TestResponses:
    """A response leaves nothing behind, however its exchange ends."""

    @pytest.mark.parametrize('kind', _RESPONSES)
    def test_one_that_never_ends(self, kind):
        # Guards against refused bodies that only the collector frees.
        async def scenario():
            exchange = _Exchange()
            await exchange.receive_for_ever(*_RESPONSES[kind])
            await exchange.end()
            assert exchange.fails()
            return exchange

        assert _run(scenario) < _SLACK_BYTES

    @pytest.mark.parametrize('kind', ['many headers', 'long chunks'])
    def test_one_that_is_refused_before_its_connection_ends(self, kind):
        # Guards against many that are refused in one turn of the loop.
        async def scenario():
            exchange = _Exchange()
            await exchange.receive_for_ever(*_RESPONSES[kind])
            await asyncio.wait((exchange.task,))
            return exchange

        assert _run(scenario) < _SLACK_BYTES

    @pytest.mark.parametrize('error', [None, ConnectionResetError()])
    def test_one_that_breaks_off(self, error):
        async def scenario():
            exchange = _Exchange()
            await exchange.receive(_OK + _LENGTH, bytes(1_900_000))
            await exchange.end(error)
            assert exchange.fails()
            return exchange

        assert _run(scenario) < _SLACK_BYTES

    def test_one_whose_caller_leaves(self):
        async def scenario():
            exchange = _Exchange()
            await exchange.receive(_OK + _LENGTH, bytes(1_900_000))
            exchange.task.cancel()
            await _turn()
            assert exchange.transport.is_closing()
            return await exchange.end()

        assert _run(scenario) < _SLACK_BYTES

    def test_one_that_comes_too_late(self):
        async def scenario():
            exchange = _Exchange()
            waiting = asyncio.ensure_future(
                asyncio.wait_for(exchange.task, 0.01)
            )
            await exchange.receive(_OK + _LENGTH, bytes(1_900_000))
            with contextlib.suppress(TimeoutError):
                await waiting
            assert exchange.transport.is_closing()
            return await exchange.end()

        assert _run(scenario) < _SLACK_BYTES

    def test_one_whose_client_is_closed(self):
        async def scenario():
            exchange = _Exchange()
            await exchange.receive(_OK + _LENGTH, bytes(1_900_000))
            exchange.connection.close()
            await exchange.end()
            assert exchange.fails()
            return exchange

        assert _run(scenario) < _SLACK_BYTES

    def test_one_that_answers_another_request(self):
        async def scenario():
            exchange = _Exchange(is_accepted=False)
            await exchange.receive(_OK + _LENGTH, bytes(1_999_999))
            await exchange.receive(_OK + _LENGTH, bytes(1_900_000))
            await exchange.end()
            assert exchange.fails()
            return exchange

        assert _run(scenario) < _SLACK_BYTES

    def test_one_with_another_behind_it(self):
        async def scenario():
            exchange = _Exchange()
            small = _OK + b'Content-Length: 2\r\n\r\nok'
            await exchange.receive(small + _OK + _LENGTH + bytes(60_000))
            await exchange.receive(bytes(1_800_000))
            response = await exchange.task
            assert response.body == b'ok'
            return await exchange.end()

        assert _run(scenario) < _SLACK_BYTES

    def test_one_that_ends_with_its_connection(self):
        async def scenario():
            exchange = _Exchange()
            await exchange.receive(_OK + b'\r\n', bytes(1_900_000))
            await exchange.end()
            assert len(exchange.task.result().body) == 1_900_000
            exchange.task = None
            return exchange

        assert _run(scenario) < _SLACK_BYTES

    def test_the_books_are_not_given_back_before_the_memory(self):
        # Guards against books that call memory free while it is held.
        async def scenario():
            exchange = _Exchange()
            before_bytes = _traced_bytes()
            await exchange.receive(_OK + _LENGTH)
            for _ in range(25):
                await exchange.receive(bytes(_PIECE_BYTES))
                held_bytes = _traced_bytes() - before_bytes
                counted_bytes = exchange.buffers.used_bytes
                assert held_bytes < 1.3 * counted_bytes + 2 * _PIECE_BYTES
            await exchange.end()
            return exchange

        assert _run(scenario) < _SLACK_BYTES


class _Answering(Handler):
    """Answers when it is told to."""

    def __init__(self):
        self.release = asyncio.Event()

    async def answer(self, request, peer):
        await self.release.wait()
        return Response(status=200, body=request.body)

    def limits(self):
        return Limits(header_bytes=16_384, body_bytes=_BODY_BYTES)


class _Client:
    """Sends to a server's connection, which the tests keep."""

    def __init__(self):
        self.handler = _Answering()
        self.owner = NoOpOwner()
        self.transport = FakeTransport()
        self.connection = ServerConnection(
            handler=self.handler, owner=self.owner
        )
        self.connection.connection_made(self.transport)

    async def send(self, *pieces):
        for piece in pieces:
            for start in range(0, len(piece), _PIECE_BYTES):
                self.connection.data_received(
                    piece[start : start + _PIECE_BYTES]
                )
        await _turn()

    async def leave(self, error=None):
        """End the connection; return this."""
        self.transport.abort()
        self.connection.connection_lost(error)
        await _turn()
        assert not self.owner.buffers.used_bytes
        self.transport.written.clear()
        return self


class TestRequests:
    """A request leaves nothing behind, however it ends."""

    @pytest.mark.parametrize('kind', _REQUESTS)
    def test_one_that_never_ends(self, kind):
        async def scenario():
            client = _Client()
            begin, again = _REQUESTS[kind]
            await client.send(begin)
            repeated = again * max(1, _PIECE_BYTES // len(again))
            while not client.transport.written:
                await client.send(repeated)
            assert client.transport.written.startswith(b'HTTP/1.1 4')
            # The client has not left yet.
            return client

        assert _run(scenario) < _SLACK_BYTES

    @pytest.mark.parametrize('error', [None, ConnectionResetError()])
    def test_one_whose_client_leaves_halfway(self, error):
        # Guards against half uploads that only the collector frees.
        async def scenario():
            client = _Client()
            await client.send(_HEAD + _LENGTH, bytes(1_900_000))
            return await client.leave(error)

        assert _run(scenario) < _SLACK_BYTES

    def test_one_whose_client_leaves_during_the_work(self):
        async def scenario():
            client = _Client()
            await client.send(_HEAD + _LENGTH, bytes(1_999_999))
            return await client.leave()

        assert _run(scenario) < _SLACK_BYTES

    def test_those_of_a_pipeline_whose_client_leaves(self):
        async def scenario():
            client = _Client()
            for _ in range(20):
                await client.send(
                    _HEAD + b'Content-Length: 100000\r\n\r\n' + bytes(100_000)
                )
            return await client.leave()

        assert _run(scenario) < _SLACK_BYTES

    def test_one_that_finds_no_room(self):
        async def scenario():
            client = _Client()
            client.owner.buffers.limit_bytes = 1_500_000
            await client.send(_HEAD + _LENGTH, bytes(1_999_999))
            assert client.transport.written.startswith(b'HTTP/1.1 503')
            return client

        assert _run(scenario) < _SLACK_BYTES

    def test_one_whose_answer_is_not_read(self):
        async def scenario():
            client = _Client()
            client.transport.unread_bytes = _BODY_BYTES
            client.handler.release.set()
            await client.send(_HEAD + _LENGTH, bytes(1_999_999))
            return await client.leave()

        assert _run(scenario) < _SLACK_BYTES
