"""Clients that end their input and wait for the answers, or leave."""

import asyncio
import socket

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.server import Server
from fescueknot.httpio.unanswered import Unanswered
from fescueknot.relay.peers import PeerHandler
from tests.httpio.fake_transport import (
    FakeTransport,
    KernelTransport,
    NoOpOwner,
)
from tests.relay.simulated_loop import run_simulated

_REQUEST = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
_OLD_REQUEST = b'GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'
_PIPELINE_LENGTH = 40
_LIMIT_S = 30
_WORK_S = 10
# A client that leaves is to be noticed within half a second, with the way of
# the news to its target.
_NOTICED_S = 0.25
_STALLED_S = 20


class _Gate(Handler):
    """Answers once it is opened."""

    def __init__(self, *, may_half_close=True):
        self.opened = asyncio.Event()
        self.may_half_close = may_half_close
        self.cancelled = 0

    async def answer(self, request, peer):
        try:
            await self.opened.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return Response(status=200, body=b'whole')

    def limits(self):
        return Limits()

    def may_overlap(self, request):
        return True


class _Served:
    """A server and a client on loopback."""

    def __init__(self, handler):
        self.handler = handler
        self.server = Server(handler=handler, report_error=lambda error: None)

    async def start(self):
        await self.server.listen('127.0.0.1', 0)
        address = ('127.0.0.1', self.server.port)
        self.client = socket.create_connection(address)
        self.client.setblocking(False)

    async def end_input(self, sent):
        """Send, then half-close; return once the server has noticed."""
        self.client.sendall(sent)
        await self.until(lambda: self.server.requests_in_progress)
        (connection,) = self.server._connections
        seen = _watch_end_of_input(connection)
        self.client.shutdown(socket.SHUT_WR)
        await seen.wait()

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0)

    async def received(self):
        loop = asyncio.get_running_loop()
        received = bytearray()
        while piece := await loop.sock_recv(self.client, 65536):
            received += piece
        self.client.close()
        return bytes(received)


def _watch_end_of_input(connection):
    """Return an event that is set once the server has read the end."""
    seen = asyncio.Event()
    original = connection.eof_received

    def eof_received():
        seen.set()
        return original()

    connection.eof_received = eof_received
    return seen


def _run(scenario):
    async def around():
        served = _Served(_Gate())
        await served.start()
        return await scenario(served)

    return asyncio.run(asyncio.wait_for(around(), _LIMIT_S))


class TestAnswers:
    """A client that ends its input after its requests and waits."""

    @pytest.mark.parametrize('request_bytes', [_REQUEST, _OLD_REQUEST])
    def test_its_request_is_answered(self, request_bytes):
        # Guards against a half-closed client taken for one that has left: its
        # request was passed on, cancelled, and the connection closed.
        async def scenario(served):
            await served.end_input(request_bytes)
            served.handler.opened.set()
            return await served.received()

        received = _run(scenario)
        assert received.startswith(b'HTTP/1.1 200 OK\r\n')
        assert received.endswith(b'\r\nconnection: close\r\n\r\nwhole')

    @pytest.mark.parametrize('rest', [b'', _REQUEST[:-2]])
    def test_all_pipelined_requests_are_answered(self, rest):
        # Guards against the same for requests that wait behind a full
        # pipeline; the rest is no whole request and gets no answer.
        async def scenario(served):
            await served.end_input(_REQUEST * _PIPELINE_LENGTH + rest)
            served.handler.opened.set()
            return await served.received()

        received = _run(scenario)
        assert received.count(b'HTTP/1.1 200 OK\r\n') == _PIPELINE_LENGTH
        assert received.count(b'\r\n\r\nwhole') == _PIPELINE_LENGTH
        assert received.endswith(b'whole')

    def test_a_request_before_a_refusal_is_answered(self):
        # Guards against the same where the end follows refused input.
        async def scenario(served):
            await served.end_input(_REQUEST + b'nonsense\r\n\r\n')
            served.handler.opened.set()
            return await served.received()

        received = _run(scenario)
        assert received.count(b'\r\n\r\nwhole') == 1
        assert received.count(b'HTTP/1.1 400') == 1

    def test_a_stop_answers_it(self):
        # Guards against a stop that takes such a connection for an idle one.
        async def scenario(served):
            await served.end_input(_REQUEST)
            served.server.drain()
            served.server.stop_listening()
            served.handler.opened.set()
            return await served.received()

        assert _run(scenario).endswith(b'whole')

    def test_its_connection_ends_and_nothing_counts_as_unanswered(self):
        async def scenario(served):
            await served.end_input(_REQUEST)
            served.handler.opened.set()
            await served.received()
            while served.server.open_connections:
                await asyncio.sleep(0)
            return served.server.unanswered.by_reason()

        assert not _run(scenario)


class TestLeaving:
    """A client that closes its connection while it is owed an answer."""

    @pytest.mark.parametrize('half_closes_first', [False, True])
    def test_its_request_is_cancelled(self, half_closes_first):
        # Guards against requests that go on for nobody, as the end of input
        # alone does not show that the client has left.
        async def scenario(served):
            if half_closes_first:
                await served.end_input(_REQUEST)
            else:
                served.client.sendall(_REQUEST)
                await served.until(lambda: served.server.requests_in_progress)
            served.client.close()
            await served.until(lambda: not served.server.open_connections)
            await served.until(lambda: not served.server.requests_in_progress)
            return served.handler.cancelled, served.server.unanswered

        cancelled, unanswered = _run(scenario)
        assert cancelled == 1
        assert unanswered.by_reason() == {str(Unanswered.CLIENT_LEFT): 1}

    def test_another_node_has_left_at_once(self):
        # Guards against the time of a probe where nobody half-closes.
        transport = FakeTransport()
        handler = _Gate(may_half_close=PeerHandler.may_half_close)

        async def scenario(handler):
            await asyncio.sleep(0)
            assert handler.cancelled == 1

        assert not _played(transport, scenario, handler=handler)
        assert not transport.written

    def test_an_idle_connection_is_closed_at_once(self):
        async def scenario(served):
            await served.until(lambda: served.server.open_connections)
            served.client.shutdown(socket.SHUT_WR)
            return await served.received()

        assert _run(scenario) == b''


def _played(transport, scenario, sent=_REQUEST, handler=None):
    """Play a connection whose input ends while a request is at work."""
    handler = handler or _Gate()

    async def around():
        connection = ServerConnection(handler=handler, owner=NoOpOwner())
        connection.connection_made(transport)
        connection.data_received(sent)
        await asyncio.sleep(0)
        keeps_open = connection.eof_received()
        await scenario(handler)
        connection.connection_lost(None)
        return keeps_open

    return run_simulated(around)


class TestProbe:
    """What is sent to a client whose input has ended."""

    def test_the_beginning_of_the_answer_comes_first_and_once(self):
        # Guards against a probe whose bytes are no part of the answer.
        transport = FakeTransport()
        written = []

        async def scenario(handler):
            await asyncio.sleep(_WORK_S)
            written.append(bytes(transport.written))
            handler.opened.set()
            await asyncio.sleep(0.5)

        assert _played(transport, scenario, sent=_REQUEST * 2)
        assert written == [b'HTTP/1.1 ']
        answers = bytes(transport.written)
        assert answers.startswith(b'HTTP/1.1 200 OK\r\n')
        assert answers.count(b'HTTP/1.1 200 OK\r\n') == 2
        assert answers.endswith(b'connection: close\r\n\r\nwhole(end)')

    def test_a_reset_is_noticed_in_time(self):
        # Guards against a probe that is late for the half second in which the
        # work for a client that has left must end.
        transport = KernelTransport()

        async def scenario(handler):
            transport.client.close()
            await asyncio.sleep(_NOTICED_S)

        assert _played(transport, scenario)
        transport.close_sockets()
        assert transport.aborted.is_set()

    def test_a_client_that_waits_is_left_alone(self):
        transport = KernelTransport()

        async def scenario(handler):
            transport.client.shutdown(socket.SHUT_WR)
            await asyncio.sleep(_WORK_S)

        assert _played(transport, scenario)
        transport.close_sockets()
        assert not transport.aborted.is_set()

    def test_nothing_is_added_to_an_answer_that_is_not_read(self):
        # Guards against bytes that pile up for a client that reads nothing,
        # and against one that is never cut.
        transport = FakeTransport()
        transport.unread_bytes = 1

        async def scenario(handler):
            await asyncio.sleep(_STALLED_S)

        assert _played(transport, scenario)
        assert not transport.written
        assert transport.aborted.is_set()

    def test_the_connection_ends_behind_the_last_answer(self):
        # Guards against connections that stay: their end is not seen twice.
        transport = FakeTransport()

        async def scenario(handler):
            handler.opened.set()
            await asyncio.sleep(_WORK_S)

        _played(transport, scenario)
        assert transport.aborted.is_set()
