"""Requests that lie in the kernel when a connection is to be closed."""

import asyncio
import errno
import select
import socket
import struct
from asyncio.trsock import TransportSocket

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.server import Server
from fescueknot.httpio.unanswered import Unanswered
from tests.httpio.fake_transport import KernelTransport, NoOpOwner
from tests.relay.simulated_loop import run_simulated

_REQUEST = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
_IDLE_S = 1
_POLL_INTERVAL_S = 0.01
_TURNS_TO_ANSWER = 8
_LIMIT_S = 30
_LOOKS = 5
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class _Handler(Handler):
    def __init__(self):
        self.current_limits = Limits(idle_timeout_s=_IDLE_S)

    async def answer(self, request, peer):
        return Response(status=200, body=b'whole')

    def limits(self):
        return self.current_limits


class _Served:
    """A server and a client whose bytes the server's kernel has at once."""

    def __init__(self):
        self.handler = _Handler()
        self.server = Server(
            handler=self.handler, report_error=lambda error: None
        )
        self.client = None

    async def start(self):
        await self.server.listen('127.0.0.1', 0)
        self._address = ('127.0.0.1', self.server.port)
        self.handler.current_limits = Limits(idle_timeout_s=_LIMIT_S)

    def connect(self):
        """Connect; the server has not accepted yet."""
        self.client = socket.create_connection(self._address)
        for listening in self.server._listener.sockets:
            _wait_for_input(listening)

    async def accepted(self):
        while not self.server.open_connections:
            await asyncio.sleep(0)

    def send(self):
        """Send a request; the server has not read it."""
        self.client.sendall(_REQUEST)
        for connection in self.server._connections:
            _wait_for_input(connection._transport.get_extra_info('socket'))

    async def received(self):
        """Return all that the client receives until the end."""
        self.client.setblocking(False)
        loop = asyncio.get_running_loop()
        received = bytearray()
        try:
            while piece := await loop.sock_recv(self.client, 4096):
                received += piece
        except ConnectionResetError as error:
            received += repr(error).encode()
        self.client.close()
        return bytes(received)


def _wait_for_input(sock):
    select.select([sock.fileno()], [], [], _LIMIT_S)


def _run(scenario):
    async def around():
        served = _Served()
        await served.start()
        return await scenario(served)

    return asyncio.run(asyncio.wait_for(around(), _LIMIT_S))


class TestStop:
    """A server that closes its idle connections."""

    def test_a_request_that_has_arrived_unseen_is_answered(self):
        # Guards against the close of a connection as idle, though a request
        # had arrived since the loop last looked: it was read and dropped.
        async def scenario(served):
            served.connect()
            await served.accepted()
            served.send()
            served.server.stop_listening()
            return await served.received()

        assert _run(scenario).endswith(b'whole')

    @pytest.mark.parametrize('interval_s', [0, _POLL_INTERVAL_S])
    def test_a_connection_not_yet_accepted_is_served(self, interval_s):
        # Guards against a reset of connections that the kernel has accepted,
        # and of one that asyncio is about to register.
        async def scenario(served):
            served.connect()
            served.send()
            for _ in range(_LOOKS):
                served.server.stop_listening()
                await asyncio.sleep(interval_s)
            return await served.received()

        assert _run(scenario).endswith(b'whole')

    @pytest.mark.parametrize('turns', range(_TURNS_TO_ANSWER))
    def test_a_connection_being_accepted_is_served(self, turns):
        # Guards against a close of the listening socket between the steps in
        # which asyncio accepts a connection: it would drop that silently.
        async def scenario(served):
            served.connect()
            served.send()
            for _ in range(turns):
                await asyncio.sleep(0)
            while served.server.stop_listening():
                await asyncio.sleep(_POLL_INTERVAL_S)
            return await served.received()

        assert _run(scenario).endswith(b'whole')

    def test_the_listening_socket_is_closed(self):
        async def scenario(served):
            served.server.stop_listening()
            await asyncio.sleep(0)
            return served.server._listener.sockets

        assert not _run(scenario)

    def test_it_is_closed_without_a_descriptor_left(self, monkeypatch):
        # Guards against a process that listens until its end, for connections
        # that nobody will read.
        def fail(sock):
            raise OSError(errno.EMFILE, 'Too many open files')

        async def scenario(served):
            monkeypatch.setattr(TransportSocket, 'dup', fail)
            served.server.stop_listening()
            await asyncio.sleep(0)
            return served.server._listener.sockets

        assert not _run(scenario)

    def test_listening_ends_though_connections_keep_coming(self):
        # Guards against a listening socket that stays open until the kill, as
        # each look finds another connection to accept.
        async def scenario(served):
            clients = []
            for _ in range(_LOOKS):
                try:
                    served.connect()
                except ConnectionRefusedError:
                    break
                served.send()
                clients.append(served.client)
                served.server.stop_listening()
                await asyncio.sleep(0)
            received = []
            for client in clients:
                served.client = client
                received.append(await served.received())
            return received

        received = _run(scenario)
        assert 0 < len(received) < _LOOKS
        assert all(answer.endswith(b'whole') for answer in received)

    def test_an_idle_connection_is_closed_all_the_same(self):
        async def scenario(served):
            served.connect()
            await served.accepted()
            served.server.stop_listening()
            return await served.received()

        assert _run(scenario) == b''


def _at_idle_limit(scenario):
    """Return the result of a scenario with a connection that is idle."""

    async def around():
        transport = KernelTransport()
        handler = _Handler()
        connection = ServerConnection(handler=handler, owner=NoOpOwner())
        connection.connection_made(transport)
        await scenario(transport, handler)
        written = bytes(transport.written)
        if not written:
            connection.data_received(_REQUEST)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            written = bytes(transport.written)
        transport.close_sockets()
        return written

    return run_simulated(around)


class TestIdleLimit:
    """A connection that reaches its idle limit."""

    def test_a_request_that_has_arrived_unseen_is_answered(self):
        # Guards against the same as above at the idle limit: the request
        # arrives after the loop has looked and before the limit acts.
        async def scenario(transport, handler):
            transport.client.sendall(_REQUEST)
            await asyncio.sleep(_IDLE_S + _POLL_INTERVAL_S)

        assert _at_idle_limit(scenario).endswith(b'whole')

    def test_an_idle_connection_is_closed_all_the_same(self):
        async def scenario(transport, handler):
            await asyncio.sleep(_IDLE_S + _POLL_INTERVAL_S)

        assert _at_idle_limit(scenario) == b'(end)'

    def test_a_limit_that_has_grown_applies(self):
        # Guards against a close by the limit of an older configuration.
        async def scenario(transport, handler):
            handler.current_limits = Limits(idle_timeout_s=3 * _IDLE_S)
            await asyncio.sleep(2 * _IDLE_S)

        assert _at_idle_limit(scenario).endswith(b'whole')

    def test_a_limit_that_has_grown_ends_too(self):
        async def scenario(transport, handler):
            handler.current_limits = Limits(idle_timeout_s=3 * _IDLE_S)
            await asyncio.sleep(3 * _IDLE_S + _POLL_INTERVAL_S)

        assert _at_idle_limit(scenario) == b'(end)'


class TestCounts:
    """What the server counts as ended without an answer."""

    def test_a_client_that_leaves_is_counted(self):
        async def scenario(served):
            served.handler.answer = _never
            served.connect()
            await served.accepted()
            served.send()
            while not served.server.requests_in_progress:
                await asyncio.sleep(0)
            served.client.close()
            while served.server.requests_in_progress:
                await asyncio.sleep(0)
            return served.server.unanswered.by_reason()

        assert _run(scenario) == {str(Unanswered.CLIENT_LEFT): 1}


async def _never(request, peer):
    await asyncio.get_running_loop().create_future()


class TestResetBeforeAccept:
    """A client that has reset its connection before it was accepted."""

    def test_its_end_is_no_error(self):
        # Guards against an error in a callback of the loop: such a connection,
        # taken over at the end of listening, has no address of a client.
        async def scenario(served):
            errors = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, error: errors.append(error))
            served.connect()
            served.client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
            served.client.close()
            for _ in range(_LOOKS):
                served.server.stop_listening()
                await asyncio.sleep(0)
            while served.server.open_connections:
                await asyncio.sleep(0)
            return errors

        assert not _run(scenario)
