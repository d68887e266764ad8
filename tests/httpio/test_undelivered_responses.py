"""Responses that the kernel holds and the client has not read."""

import asyncio
import contextlib

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.kernel_buffers import undelivered_bytes
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.server import Server
from tests.httpio.fake_transport import FakeTransport, NoOpOwner
from tests.httpio.slow_client import KernelTransport, SlowClient
from tests.relay.simulated_loop import run_simulated

_IDLE_S = 3
_LINGER_S = 1
_CHECK_S = 1
_STALLED_S = 15


class _Handler(Handler):
    async def answer(self, request, peer):
        return Response(status=200)

    def limits(self):
        return Limits(idle_timeout_s=_IDLE_S)


@pytest.fixture(name='client')
def make_client():
    with contextlib.ExitStack() as resources:
        yield SlowClient(resources)


async def _answered(client, owner):
    """Return a connection whose answer lies in the kernel."""
    connection = ServerConnection(handler=_Handler(), owner=owner)
    connection.connection_made(client.transport)
    connection.data_received(b'GET / HTTP/1.1\r\n\r\n')
    while not client.transport.written:
        await asyncio.sleep(0)
    client.fill()
    return connection


def _draining():
    owner = NoOpOwner()
    owner.draining = True
    return owner


class TestUndeliveredBytes:
    """What the kernel says of a connection."""

    def test_bytes_count_until_the_client_has_read_them(self, client):
        client.fill()
        before_bytes = undelivered_bytes(client.transport)
        client.read_all()
        assert before_bytes > 0
        assert undelivered_bytes(client.transport) == 0

    def test_without_a_socket_nothing_is_undelivered(self):
        assert undelivered_bytes(FakeTransport()) == 0

    def test_an_unknown_count_is_taken_as_none(self, tmp_path):
        # Guards against an error where the system does not tell.
        with (tmp_path / 'no_socket').open('wb') as no_socket:
            assert undelivered_bytes(KernelTransport(no_socket)) == 0


class TestConnection:
    """When a connection is closed whose client still reads.

    A client that sends meanwhile would get a reset and lose the rest.
    """

    def test_the_linger_waits_for_delivery(self, client):
        # Guards against an abort one second after the closing response was
        # handed over to the kernel.
        async def scenario():
            await _answered(client, _draining())
            await asyncio.sleep(_STALLED_S - 1)
            return client.transport.is_closing()

        assert not run_simulated(scenario)

    def test_the_idle_limit_waits_for_delivery(self, client):
        # Guards against an end of a connection as idle while its client
        # still reads.
        async def scenario():
            await _answered(client, NoOpOwner())
            await asyncio.sleep(_STALLED_S - 1)
            return bytes(client.transport.written)

        assert not run_simulated(scenario).endswith(b'(end)')

    @pytest.mark.parametrize('owner', [NoOpOwner(), _draining()])
    def test_the_connection_ends_soon_after_delivery(self, client, owner):
        async def scenario():
            await _answered(client, owner)
            await asyncio.sleep(_IDLE_S + _LINGER_S)
            client.read_all()
            began_s = asyncio.get_running_loop().time()
            await client.transport.aborted.wait()
            return asyncio.get_running_loop().time() - began_s

        assert run_simulated(scenario) <= _IDLE_S + _LINGER_S + _CHECK_S

    def test_a_client_that_stops_reading_is_disconnected(self, client):
        async def scenario():
            await _answered(client, _draining())
            await client.transport.aborted.wait()
            return asyncio.get_running_loop().time()

        assert run_simulated(scenario) <= _STALLED_S + _LINGER_S + _CHECK_S


class TestServer:
    """What a stop waits for."""

    def test_it_counts_responses_in_the_operating_system(self, client):
        # Guards against the end of the process with bytes undelivered.
        async def scenario():
            server = Server(handler=_Handler(), report_error=lambda error: None)
            await _answered(client, server)
            unread = server.responses_unread
            client.read_all()
            return unread, server.responses_unread

        assert run_simulated(scenario) == (1, 0)
