"""Requests that are received in part when their time is over."""

import asyncio
import socket

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from tests.httpio.fake_transport import KernelTransport, NoOpOwner
from tests.relay.simulated_loop import run_simulated

_HEADER_TIMEOUT_S = 1
_BODY_TIMEOUT_S = 15
_JUST_BEFORE_S = 1e-10
_LONG_S = 20
_MAX_LOOKS = 100
_GOOD = b'GET /x HTTP/1.1\r\n\r\n'
_LATE_HEAD = b'GET /x HTT'
_LATE_BODY = b'POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nx'


class _Handler(Handler):
    async def answer(self, request, peer):
        return Response(status=200, body=b'whole')

    def limits(self):
        return Limits(header_timeout_s=_HEADER_TIMEOUT_S, idle_timeout_s=60)


class _LimitedTransport(KernelTransport):
    """Can be asked for its socket a limited number of times."""

    def __init__(self):
        super().__init__()
        self.looks = 0
        self.closing = False

    def is_closing(self):
        return self.closing or super().is_closing()

    def get_extra_info(self, name, default=None):
        self.looks += name == 'socket'
        if self.looks > _MAX_LOOKS:
            raise RuntimeError('asked for the socket too often')
        return super().get_extra_info(name, default)


def _written(first, rest, rest_at_s):
    """Return what is written if the rest arrives at a time."""

    async def scenario():
        transport = KernelTransport()
        connection = ServerConnection(handler=_Handler(), owner=NoOpOwner())
        connection.connection_made(transport)
        connection.data_received(first)
        loop = asyncio.get_running_loop()
        loop.add_reader(
            transport.server_end,
            lambda: connection.data_received(transport.server_end.recv(99)),
        )
        loop.call_at(rest_at_s, transport.client.sendall, rest)
        await asyncio.sleep(2 * _BODY_TIMEOUT_S)
        loop.remove_reader(transport.server_end)
        transport.close_sockets()
        return bytes(transport.written)

    return run_simulated(scenario)


class TestLateRequests:
    """Heads and bodies at their time limits."""

    @pytest.mark.parametrize(
        ('first', 'rest', 'limit_s'),
        [
            (_LATE_HEAD, b'P/1.1\r\n\r\n', _HEADER_TIMEOUT_S),
            (_LATE_BODY, b'x', _BODY_TIMEOUT_S),
        ],
        ids=['head', 'body'],
    )
    def test_a_rest_that_has_arrived_unseen_counts(self, first, rest, limit_s):
        # Guards against a 408 for a request whose rest lies in the kernel,
        # as its process has waited for a processor.
        written = _written(first, rest, limit_s - _JUST_BEFORE_S)
        assert written.endswith(b'whole')

    def test_a_rest_that_is_late_is_refused(self):
        rest_at_s = 2 * _HEADER_TIMEOUT_S
        written = _written(_LATE_HEAD, b'P/1.1\r\n\r\n', rest_at_s)
        assert written.startswith(b'HTTP/1.1 408')

    def test_a_head_that_trickles_in_is_refused(self):
        written = _written(_LATE_HEAD, b'P', _HEADER_TIMEOUT_S - _JUST_BEFORE_S)
        assert written.startswith(b'HTTP/1.1 408')

    def test_each_head_has_its_own_time(self):
        # Guards against a 408 for a client on a slow link that sends requests
        # one behind another, so that each read ends within a head.
        async def scenario():
            transport = KernelTransport()
            connection = ServerConnection(handler=_Handler(), owner=NoOpOwner())
            connection.connection_made(transport)
            connection.data_received(_LATE_HEAD)
            for _ in range(10):
                await asyncio.sleep(_HEADER_TIMEOUT_S / 2)
                connection.data_received(b'P/1.1\r\n\r\n' + _LATE_HEAD)
            connection.data_received(b'P/1.1\r\n\r\n')
            await asyncio.sleep(_HEADER_TIMEOUT_S)
            transport.close_sockets()
            return bytes(transport.written)

        written = run_simulated(scenario)
        assert written.count(b'HTTP/1.1 200') == 11
        assert b'HTTP/1.1 408' not in written

    def test_a_client_that_half_closes_and_does_not_read_is_cut(self):
        # Guards against a busy loop: the end of input stays readable, and the
        # transport does not close while an answer is left unread.
        async def scenario():
            transport = _LimitedTransport()
            connection = ServerConnection(handler=_Handler(), owner=NoOpOwner())
            connection.connection_made(transport)
            transport.unread_bytes = 1
            connection.data_received(_GOOD + _LATE_HEAD)
            transport.client.shutdown(socket.SHUT_WR)
            transport.closing = not connection.eof_received()
            await asyncio.sleep(_LONG_S)
            transport.close_sockets()
            return transport.looks, transport.aborted.is_set()

        looks, is_cut = run_simulated(scenario)
        assert looks < _MAX_LOOKS
        assert is_cut
