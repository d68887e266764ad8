"""Tests how the memory of a node is divided among its servers."""

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.connection import ServerConnection
from fescueknot.relay.endpoints import HeartbeatHandler, ReadyHandler
from fescueknot.relay.metrics import MetricsHandler, NodeMetrics
from fescueknot.relay.node_servers import NodeServers
from tests.httpio.fake_transport import FakeTransport
from tests.relay.fakes import run

_CONNECTIONS = 400
_BODY_BYTES = 60_000
_MOST_BYTES = 14_000_000
_HALF = (
    b'PUT /v1/instances/i-1 HTTP/1.1\r\nHost: n\r\n'
    + f'Content-Length: {_BODY_BYTES + 1}\r\n\r\n'.encode()
    + bytes(_BODY_BYTES)
)


async def _refuse(request):
    raise AssertionError


def _servers():
    handler = HeartbeatHandler(receive=_refuse)
    return NodeServers(
        callers=handler,
        peers=handler,
        ready=ReadyHandler(is_ready=lambda: True),
        heartbeats=handler,
        metrics=MetricsHandler(metrics=NodeMetrics()),
        report_error=print,
        buffers=BufferBudget(),
    )


class TestHeartbeats:
    """Many heartbeats that never end."""

    def test_they_are_bounded_together(self):
        # Guards against a target that takes the memory of messages as well.
        async def scenario():
            server = _servers()._heartbeats
            connections = []
            for _ in range(_CONNECTIONS):
                connection = ServerConnection(
                    handler=HeartbeatHandler(receive=_refuse), owner=server
                )
                connection.connection_made(FakeTransport())
                connection.data_received(_HALF)
                connections.append(connection)
            used_bytes = server.buffers.used_bytes
            for connection in connections:
                connection.connection_lost(None)
            return used_bytes, server.buffers.used_bytes

        used_bytes, left_bytes = run(scenario)
        assert _BODY_BYTES < used_bytes < _MOST_BYTES
        assert not left_bytes

    def test_readiness_is_answered_all_the_same(self):
        servers = _servers()
        assert servers._ready.buffers is not servers._heartbeats.buffers
        assert servers._ready.buffers is not servers.callers.buffers
