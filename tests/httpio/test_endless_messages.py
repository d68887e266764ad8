"""Tests the limits on received bytes: messages that never end.

A peer that sends such a message must not make the other side read and buffer
it for ever: the connection is closed after a bounded number of bytes.
"""

import asyncio
import itertools

import pytest

from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.errors import AnswerLostError
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from tests.httpio.fake_transport import FakeTransport, NoOpOwner

_REQUEST = Request(method='GET', target='/', headers=(('host', 'x'),))
_HEAD_BYTES = 4096
_BODY_BYTES = 16_384
# More than the socket buffers of both ends can store, together with the bytes
# that are read before the refusal.
_SOCKET_BUFFER_BYTES = 12_000_000
# More than is read and discarded from a client after a refusal.
_DISCARDED_BYTES = 2_000_000
_CHUNK_BYTES = 4096
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'

_RESPONSES = {
    'no HTTP': (b'', b'\x00\xff'),
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'one header': (_OK + b'X: ', b'x'),
    'many headers': (_OK, b'X: y\r\n'),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
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
    # Guards against callers that read them until their time limit.
    'empty lines': (b'', b'\r\n'),
    'line feeds': (b'', b'\n'),
    'empty lines behind interim responses': (
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'\r\n',
    ),
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
    # Guards against clients that keep a connection by them for ever.
    'empty lines': (b'', b'\r\n'),
    'line feeds': (b'', b'\n'),
}
_BEHIND_A_REQUEST = {
    'empty lines behind a request': (b'GET / HTTP/1.1\r\n\r\n', b'\r\n'),
}


async def _send_until_closed(writer, begin, repeated):
    """Return the number of bytes sent before the other side closed."""
    writer.write(begin)
    chunk = b''.join(itertools.repeat(repeated, _CHUNK_BYTES // len(repeated)))
    sent_bytes = len(begin)
    try:
        while sent_bytes < _SOCKET_BUFFER_BYTES * 2:
            writer.write(chunk)
            await writer.drain()
            sent_bytes += len(chunk)
    except ConnectionError:
        return sent_bytes
    finally:
        writer.transport.abort()
    return sent_bytes


class _EndlessServer:
    """A server that sends a response that never ends."""

    def __init__(self, begin, repeated):
        self._begin = begin
        self._repeated = repeated
        self.sent_bytes = asyncio.get_running_loop().create_future()

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        return Address(host='127.0.0.1', port=port)

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        sent_bytes = await _send_until_closed(
            writer, self._begin, self._repeated
        )
        self.sent_bytes.set_result(sent_bytes)


class _Echo(Handler):
    """Answers with the body of the request."""

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


class TestEndlessResponses:
    """Responses that never end."""

    @pytest.mark.parametrize('kind', _RESPONSES)
    def test_the_response_is_lost_and_the_connection_closed(self, kind):
        async def scenario():
            server = _EndlessServer(*_RESPONSES[kind])
            client = Client(
                address=await server.start(),
                settings=ClientSettings(
                    head_bytes=_HEAD_BYTES, body_bytes=_BODY_BYTES
                ),
            )
            with pytest.raises(AnswerLostError):
                await client.exchange(_REQUEST)
            return await server.sent_bytes

        assert _run(scenario) < _SOCKET_BUFFER_BYTES


class TestEndlessRequests:
    """Requests that never end."""

    @pytest.mark.parametrize('kind', [*_REQUESTS, *_BEHIND_A_REQUEST])
    def test_the_connection_is_closed(self, kind):
        async def scenario():
            server = Server(handler=_Echo(), report_error=lambda error: None)
            await server.listen('127.0.0.1', 0)
            _, writer = await asyncio.open_connection('127.0.0.1', server.port)
            sent = {**_REQUESTS, **_BEHIND_A_REQUEST}[kind]
            return await _send_until_closed(writer, *sent)

        assert _run(scenario) < _SOCKET_BUFFER_BYTES

    @pytest.mark.parametrize('kind', _REQUESTS)
    def test_bounded_bytes_are_read_after_the_refusal(self, kind, monkeypatch):
        # So long that only the limit on discarded bytes can stop the reading.
        monkeypatch.setattr('fescueknot.httpio.connection._LINGER_S', 3600)

        async def scenario():
            transport = FakeTransport()
            connection = ServerConnection(handler=_Echo(), owner=NoOpOwner())
            connection.connection_made(transport)
            begin, repeated = _REQUESTS[kind]
            chunk = b''.join(
                itertools.repeat(repeated, _CHUNK_BYTES // len(repeated))
            )
            connection.data_received(begin)
            read_bytes = 0
            while transport.reading and read_bytes < _DISCARDED_BYTES * 2:
                connection.data_received(chunk)
                read_bytes += len(chunk)
                await asyncio.sleep(0)
            connection.connection_lost(None)
            return read_bytes, bytes(transport.written)

        read_bytes, written = _run(scenario)
        assert read_bytes < _DISCARDED_BYTES
        assert written.startswith(b'HTTP/1.1 4')
        assert written.endswith(b'(end)')

    def test_a_body_in_chunks_of_one_byte_is_accepted(self):
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
