"""Requests that arrive in the last moments of a process."""

import asyncio
import contextlib
import socket

import pytest

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.server import Server
from fescueknot.relay.graceful_stop import GracefulStop
from tests.relay.simulated_loop import run_simulated

_GRACE_S = 6
_TURNS_OF_OTHER_WORK = 3
_REQUEST = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
_HEAD_BYTES_READ = 5


class _Handler(Handler):
    def __init__(self):
        self.is_endless = False

    async def answer(self, request, peer):
        while self.is_endless:
            await asyncio.sleep(0)
        return Response(status=503, body=b'whole')

    def limits(self):
        return Limits(header_timeout_s=_GRACE_S)

    def limit_intake(self, intake, answer_by_s=None):
        """Answer as before."""


class _Gatekeeper:
    stopping = False


class _StoppedNode:
    """A node that has stopped but for the end of its process."""

    def __init__(self, clients):
        self._clients = clients
        self._client = None
        self.handler = _Handler()
        self._callers = self._server()
        self._peers = self._server()
        self.stop = GracefulStop(
            caller_server=self._callers,
            peer_server=self._peers,
            caller_handler=self.handler,
            gatekeeper=_Gatekeeper(),
        )

    async def half_a_request(self):
        """Return a client whose request is read in part when it stops."""
        for server in (self._callers, self._peers):
            await server.listen('127.0.0.1', 0)
        stop = asyncio.ensure_future(self.stop.run(_GRACE_S))
        address = ('127.0.0.1', self._callers.port)
        client = self._clients.enter_context(socket.create_connection(address))
        client.sendall(_REQUEST[:_HEAD_BYTES_READ])
        self._client = client
        await stop
        client.setblocking(False)
        return client

    def send_rest(self):
        """Send the rest of the request of which a half was read."""
        self._client.sendall(_REQUEST[_HEAD_BYTES_READ:])

    def _server(self):
        return Server(handler=self.handler, report_error=lambda error: None)


class TestUploads:
    """Requests whose bytes arrive slowly while a node stops."""

    @pytest.mark.parametrize('after_s', [0.5, 3.5, 5])
    def test_one_is_answered_though_its_rest_is_late(self, after_s):
        # Guards against an exit, as idle, in the middle of an upload.
        async def scenario(clients):
            node = _StoppedNode(clients)
            asyncio.get_running_loop().call_later(after_s, node.send_rest)
            client = await node.half_a_request()
            return client.recv(4096)

        with contextlib.ExitStack() as clients:
            assert run_simulated(scenario, clients).endswith(b'whole')


class TestEndOfProcess:
    """What is done just before the process ends."""

    @pytest.mark.parametrize('turns', range(_TURNS_OF_OTHER_WORK))
    def test_a_request_that_has_arrived_is_answered(self, turns):
        # Guards against an exit between the reading of a request and its
        # answer: its rest arrived while the process stood still.
        async def scenario(clients):
            node = _StoppedNode(clients)
            client = await node.half_a_request()
            client.sendall(_REQUEST[_HEAD_BYTES_READ:])
            for _ in range(turns):
                await asyncio.sleep(0)
            await node.stop.settle()
            return client.recv(4096)

        with contextlib.ExitStack() as clients:
            assert run_simulated(scenario, clients).endswith(b'whole')

    def test_a_request_without_end_is_not_waited_for(self):
        async def scenario(clients):
            node = _StoppedNode(clients)
            node.handler.is_endless = True
            client = await node.half_a_request()
            client.sendall(_REQUEST[_HEAD_BYTES_READ:])
            before_s = asyncio.get_running_loop().time()
            await node.stop.settle()
            return asyncio.get_running_loop().time() - before_s

        with contextlib.ExitStack() as clients:
            assert run_simulated(scenario, clients) == 0
