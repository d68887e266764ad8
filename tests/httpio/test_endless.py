"""Bytes that are no message and come without end, until somebody closes."""

import asyncio
import itertools

import pytest

from fescueknot.httpio.client import Client, ClientSettings
from fescueknot.httpio.connection import Owner, ServerConnection
from fescueknot.httpio.errors import AnswerLostError
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.httpio.server import Server
from fescueknot.identity import Address

_REQUEST = Request(method='GET', target='/', headers=(('host', 'x'),))
_HEAD_BYTES = 4096
_BODY_BYTES = 16_384
# What the kernel holds between the two ends, and what is refused at once.
_SOCKETS_BYTES = 12_000_000
# Of a caller that was refused, this much is read and dropped at the most.
_DROPPED_BYTES = 2_000_000
_PIECE = 4096
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'

_ANSWERS = {
    'no HTTP': (b'', b'\x00\xff'),
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'one header': (_OK + b'X: ', b'x'),
    'many headers': (_OK, b'X: y\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body until the close': (_OK + b'\r\n', b'x'),
    'body in chunks': (_OK + _CHUNKED, b'1\r\nx\r\n'),
    'body with a huge length': (
        _OK + b'Content-Length: 99999999999\r\n\r\n',
        b'x',
    ),
    'chunk extension': (_OK + _CHUNKED + b'1;', b'x'),
    'size of a chunk': (_OK + _CHUNKED, b'0'),
    'trailers': (_OK + _CHUNKED + b'0\r\n', b'X: y\r\n'),
    'one trailer': (_OK + _CHUNKED + b'0\r\nX: ', b'y'),
}
_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'
_REQUESTS = {
    'no HTTP': (b'', b'\x00\xff'),
    'request line': (b'GET /', b'x'),
    'one header': (_HEAD + b'X: ', b'x'),
    'many headers': (_HEAD, b'X: y\r\n'),
    'body in chunks': (_HEAD + _CHUNKED, b'1\r\nx\r\n'),
    'chunk extension': (_HEAD + _CHUNKED + b'1;', b'x'),
    'size of a chunk': (_HEAD + _CHUNKED, b'0'),
    'trailers': (_HEAD + _CHUNKED + b'0\r\n', b'X: y\r\n'),
    'one trailer': (_HEAD + _CHUNKED + b'0\r\nX: ', b'y'),
}


async def _send_until_closed(writer, begin, again):
    """Return how many bytes were taken before the other side closed."""
    writer.write(begin)
    piece = b''.join(itertools.repeat(again, _PIECE // len(again)))
    sent = len(begin)
    try:
        while sent < _SOCKETS_BYTES * 2:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
    except ConnectionError:
        return sent
    finally:
        writer.transport.abort()
    return sent


class _Endless:
    """A server that answers without end."""

    def __init__(self, begin, again):
        self._begin = begin
        self._again = again
        self.sent = asyncio.get_running_loop().create_future()

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        return Address(host='127.0.0.1', port=port)

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        sent = await _send_until_closed(writer, self._begin, self._again)
        self.sent.set_result(sent)


class _Echo(Handler):
    """Answers with the body."""

    async def answer(self, request, peer):
        return Response(status=200, body=request.body)

    def limits(self):
        return Limits(
            header_bytes=_HEAD_BYTES,
            body_bytes=_BODY_BYTES,
            header_timeout_s=60,
        )


def _run(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), 30))


class TestServersWithoutEnd:
    """What a caller gets is no answer, and the connection is gone."""

    @pytest.mark.parametrize('kind', _ANSWERS)
    def test_the_answer_is_lost_and_the_connection_closed(self, kind):
        async def scenario():
            server = _Endless(*_ANSWERS[kind])
            client = Client(
                address=await server.start(),
                settings=ClientSettings(
                    head_bytes=_HEAD_BYTES, body_bytes=_BODY_BYTES
                ),
            )
            with pytest.raises(AnswerLostError):
                await client.exchange(_REQUEST)
            return await server.sent

        assert _run(scenario) < _SOCKETS_BYTES


class _Wire(asyncio.Transport):
    """The server's side of a connection, without a network."""

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.reading = True
        self.aborted = asyncio.Event()

    def get_extra_info(self, name, default=None):
        return ('127.0.0.1', 1) if name == 'peername' else default

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.written += b'(end)'

    def is_reading(self):
        return self.reading

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def is_closing(self):
        return self.aborted.is_set()

    def abort(self):
        self.aborted.set()


class _Owner(Owner):
    """Takes note of nothing."""

    def opened(self, connection):
        """Pass over it."""

    def closed(self, connection):
        """Pass over it."""

    def started(self, answer):
        """Pass over it."""

    def ended(self, answer):
        """Pass over it."""


class TestCallersWithoutEnd:
    """A caller that sends without end is refused and cut off."""

    @pytest.mark.parametrize('kind', _REQUESTS)
    def test_the_connection_is_closed(self, kind):
        async def scenario():
            server = Server(handler=_Echo(), report_error=lambda error: None)
            await server.listen('127.0.0.1', 0)
            _, writer = await asyncio.open_connection('127.0.0.1', server.port)
            return await _send_until_closed(writer, *_REQUESTS[kind])

        assert _run(scenario) < _SOCKETS_BYTES

    @pytest.mark.parametrize('kind', _REQUESTS)
    def test_little_is_read_after_the_refusal(self, kind, monkeypatch):
        # Long enough for any number of bytes, if they were read.
        monkeypatch.setattr('fescueknot.httpio.connection._LINGER_S', 3600)

        async def scenario():
            wire = _Wire()
            connection = ServerConnection(handler=_Echo(), owner=_Owner())
            connection.connection_made(wire)
            begin, again = _REQUESTS[kind]
            piece = b''.join(itertools.repeat(again, _PIECE // len(again)))
            connection.data_received(begin)
            read_bytes = 0
            while wire.reading and read_bytes < _DROPPED_BYTES * 2:
                connection.data_received(piece)
                read_bytes += len(piece)
                await asyncio.sleep(0)
            connection.connection_lost(None)
            return read_bytes, bytes(wire.written)

        read_bytes, written = _run(scenario)
        assert read_bytes < _DROPPED_BYTES
        assert written.startswith(b'HTTP/1.1 4')
        assert written.endswith(b'(end)')

    def test_small_chunks_are_no_reason(self):
        async def scenario():
            server = Server(handler=_Echo(), report_error=lambda error: None)
            await server.listen('127.0.0.1', 0)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            chunks = b''.join(itertools.repeat(b'1\r\nx\r\n', _BODY_BYTES))
            writer.write(_HEAD + _CHUNKED + chunks + b'0\r\n\r\n')
            head = await reader.readuntil(b'\r\n\r\n')
            writer.transport.abort()
            return head

        assert _run(scenario).startswith(b'HTTP/1.1 200')
