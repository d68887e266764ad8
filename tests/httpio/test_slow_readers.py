"""Clients that read their answers slowly."""

import asyncio

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.server import Server
from tests.httpio.fake_transport import FakeTransport, NoOpOwner
from tests.relay.simulated_loop import run_simulated

_BODY_BYTES = 12_000_000
_BYTES_PER_S = 3_000_000
_STEP_S = 0.25
_IDLE_S = 1
# A reader is looked at once in this time.
_LOOK_S = 1.1


class _Handler(Handler):
    async def answer(self, request, peer):
        return Response(status=200, body=bytes(_BODY_BYTES))

    def limits(self):
        return Limits(idle_timeout_s=_IDLE_S)


class _SlowTransport(FakeTransport):
    """Has all bytes unread at first."""

    def write(self, data):
        self.unread_bytes += len(data)


async def _answered(owner):
    """Return the transport of a connection that has written an answer."""
    transport = _SlowTransport()
    connection = ServerConnection(handler=_Handler(), owner=owner)
    connection.connection_made(transport)
    connection.data_received(b'GET / HTTP/1.1\r\n\r\n')
    while not transport.unread_bytes:
        await asyncio.sleep(0)
    return transport


async def _read_all(transport):
    """Read at a steady rate; return whether the answer was whole."""
    while transport.unread_bytes and not transport.is_closing():
        await asyncio.sleep(_STEP_S)
        step_bytes = int(_BYTES_PER_S * _STEP_S)
        transport.unread_bytes = max(0, transport.unread_bytes - step_bytes)
    return not transport.is_closing()


class TestSlowReaders:
    """How long a connection waits for its reader."""

    @pytest.mark.parametrize('draining', [True, False])
    def test_an_answer_that_is_read_steadily_is_not_cut(self, draining):
        # Guards against the linger and idle times of a connection, which
        # began when an answer was written and not when it was read.
        async def scenario():
            owner = NoOpOwner()
            owner.draining = draining
            transport = await _answered(owner)
            return await _read_all(transport)

        assert run_simulated(scenario)

    @pytest.mark.parametrize('draining', [True, False])
    def test_the_connection_ends_soon_after_the_answer_is_read(self, draining):
        async def scenario():
            owner = NoOpOwner()
            owner.draining = draining
            transport = await _answered(owner)
            await _read_all(transport)
            began_s = asyncio.get_running_loop().time()
            await transport.aborted.wait()
            return asyncio.get_running_loop().time() - began_s

        assert run_simulated(scenario) < 2 * _IDLE_S + 2

    def test_a_client_that_stops_reading_is_disconnected(self):
        async def scenario():
            transport = await _answered(NoOpOwner())
            transport.unread_bytes -= _BYTES_PER_S
            await transport.aborted.wait()
            return asyncio.get_running_loop().time()

        assert 14 < run_simulated(scenario) < 18


class TestServer:
    """What a server knows of its readers."""

    def test_it_counts_clients_that_have_not_read_all(self):
        async def scenario():
            server = Server(handler=_Handler(), report_error=lambda error: None)
            transport = await _answered(server)
            unread = server.responses_unread
            transport.unread_bytes = 0
            return unread, server.responses_unread

        assert run_simulated(scenario) == (1, 0)


class TestMemory:
    """What is counted of an answer that waits for its reader."""

    def test_what_has_been_read_is_given_back(self):
        # Guards against answers that wait for memory which others have given
        # back: a stop ends their callers' wait with 504.
        async def scenario():
            owner = NoOpOwner()
            transport = await _answered(owner)
            used = []
            for unread_bytes in (_BODY_BYTES, _BODY_BYTES // 2, 100_000):
                transport.unread_bytes = unread_bytes
                await asyncio.sleep(_LOOK_S)
                used.append(owner.buffers.used_bytes)
            return used

        assert run_simulated(scenario) == [
            _BODY_BYTES,
            _BODY_BYTES // 2,
            100_000,
        ]
