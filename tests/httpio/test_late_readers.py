"""Servers that read a long request late."""

import asyncio
import contextlib
import socket
import struct

import pytest

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.client_connection import (
    ClientConnection,
    ClientSettings,
)
from fescueknot.httpio.delivery_watch import DeliveryWatch
from fescueknot.httpio.messages import Request
from fescueknot.httpio.tcp_options import set_tcp_timeouts
from fescueknot.httpio.tcp_state import (
    PeerState,
    decode_peer_state,
    read_peer_state,
)
from tests.httpio.slow_client import SlowClient
from tests.relay.simulated_loop import run_simulated

_TIMEOUT_S = 1.5
_READ_STATE = 'fescueknot.httpio.delivery_watch.read_peer_state'
_BODY_BYTES = 32_000_000
_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


def _user_timeout_s(sock):
    option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    return option / 1000


class _LateServer:
    """Reads a body once ``may_read`` is set, then answers."""

    def __init__(self):
        self.has_head = asyncio.Event()
        self.may_read = asyncio.Event()

    async def serve(self, reader, writer):
        """Serve one request."""
        await reader.readuntil(b'\r\n\r\n')
        self.has_head.set()
        await self.may_read.wait()
        await reader.readexactly(_BODY_BYTES)
        writer.write(_OK)
        writer.close()


async def _connect(server):
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    settings = ClientSettings(unacknowledged_timeout_s=_TIMEOUT_S)
    transport, connection = await asyncio.get_running_loop().create_connection(
        lambda: ClientConnection(settings=settings, buffers=BufferBudget()),
        *listener.sockets[0].getsockname(),
    )
    sock = transport.get_extra_info('socket')
    set_tcp_timeouts(sock, _TIMEOUT_S)
    return connection, sock


class TestClientConnection:
    """How long a server may take no more of a request."""

    def test_the_time_is_longer_until_a_long_request_is_delivered(self):
        # Guards against the end of a connection whose live server reads a
        # long body later than the time for unacknowledged bytes.
        async def scenario():
            server = _LateServer()
            connection, sock = await _connect(server)
            exchange = asyncio.ensure_future(
                connection.exchange(
                    Request(method='PUT', target='/', body=bytes(_BODY_BYTES)),
                    lambda response: True,
                )
            )
            await server.has_head.wait()
            waiting_s = _user_timeout_s(sock)
            server.may_read.set()
            response = await exchange
            return waiting_s, response.status

        assert asyncio.run(scenario()) == (15, 200)


@pytest.fixture(name='slow')
def make_slow():
    with contextlib.ExitStack() as resources:
        yield SlowClient(resources)


class _Watch:
    """A watch of a request that was written to a slow receiver."""

    def __init__(self, slow, size_bytes=_BODY_BYTES):
        self.unresponsive = 0
        self._slow = slow
        set_tcp_timeouts(slow.served, _TIMEOUT_S)
        slow.fill()
        watch = DeliveryWatch(timeout_s=_TIMEOUT_S, on_unresponsive=self._count)
        self._delivery = watch.delivery(
            slow.transport, size_bytes, lambda: True
        )

    def __enter__(self):
        self._delivery.__enter__()
        return self

    def __exit__(self, *exception):
        return self._delivery.__exit__(*exception)

    @property
    def timeout_s(self):
        """Return the time that the kernel has."""
        return _user_timeout_s(self._slow.served)

    def _count(self):
        self.unresponsive += 1


class TestDeliveryWatch:
    """The time that the kernel allows."""

    def test_it_is_longer_while_bytes_wait_for_the_receiver(self, slow):
        async def scenario():
            with _Watch(slow) as watch:
                await asyncio.sleep(10)
                return watch.timeout_s, watch.unresponsive

        assert run_simulated(scenario) == (15, 0)

    def test_it_is_the_usual_one_once_all_is_delivered(self, slow):
        # Guards against a dead server that is noticed late because it was
        # sent a long request before.
        async def scenario():
            with _Watch(slow) as watch:
                slow.read_all()
                await asyncio.sleep(1)
                return watch.timeout_s

        assert run_simulated(scenario) == _TIMEOUT_S

    def test_it_is_the_usual_one_after_the_exchange(self, slow):
        async def scenario():
            watch = _Watch(slow)
            with watch:
                await asyncio.sleep(1)
            return watch.timeout_s

        assert run_simulated(scenario) == _TIMEOUT_S

    def test_short_requests_keep_the_usual_one(self, slow):
        async def scenario():
            with _Watch(slow, size_bytes=1000) as watch:
                return watch.timeout_s

        assert run_simulated(scenario) == _TIMEOUT_S

    def test_it_is_the_usual_one_where_the_state_is_unknown(
        self, slow, monkeypatch
    ):
        # Guards against a dead server that is noticed late, as nothing else
        # than this time shows it.
        async def scenario():
            with _Watch(slow) as watch:
                return watch.timeout_s

        monkeypatch.setattr(_READ_STATE, lambda sock: None)
        assert run_simulated(scenario) == _TIMEOUT_S


class TestPeerState:
    """What the kernel knows of the other side."""

    @pytest.mark.parametrize(
        ('unanswered', 'silent_s', 'expected'),
        [(0, 9, False), (1, 9, False), (2, 1, False), (2, 2, True)],
        ids=['idle', 'one probe', 'recent', 'dead'],
    )
    def test_only_unanswered_packets_show_a_dead_peer(
        self, unanswered, silent_s, expected
    ):
        state = PeerState(unanswered=unanswered, silent_s=silent_s)
        assert state.is_unresponsive(_TIMEOUT_S) is expected

    def test_its_fields_are_read(self):
        info = struct.pack('4B52xI', 1, 0, 2, 3, 1700)
        state = PeerState(unanswered=3, silent_s=1.7)
        assert decode_peer_state(info) == state

    def test_fields_that_nobody_has_filled_say_nothing(self):
        # Guards against a dead server that is never noticed, where the
        # system takes the call and does not fill its answer.
        assert decode_peer_state(bytes(60)) is None

    def test_a_live_connection_is_responsive(self, slow):
        assert not read_peer_state(slow.served).is_unresponsive(_TIMEOUT_S)

    def test_without_a_tcp_connection_it_is_unknown(self):
        with socket.socketpair()[0] as unix:
            assert read_peer_state(unix) is None
