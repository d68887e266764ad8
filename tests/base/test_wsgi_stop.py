"""Shutdown of a server while other threads wake its loop."""

import socket

import pytest

from fescueknot.identity import Address
from fescueknot.node.servers import HttpServer, ServerLimits
from fescueknot.objectapi.standin import StandInServer, StandInSettings

_JOIN_S = 10


def _standin():
    return StandInServer(settings=StandInSettings(threads=2))


def _node():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    limits = ServerLimits(
        threads=2,
        connections=10,
        header_bytes=1000,
        body_bytes=1000,
        idle_timeout_s=60,
    )
    return HttpServer(
        address=Address(host='127.0.0.1', port=port),
        app=lambda environ, start_response: [],
        limits=limits,
    )


@pytest.mark.parametrize('build', [_standin, _node])
class TestStop:
    """The stopping thread and the loop thread both use the trigger."""

    def test_the_loop_may_end_before_the_stopping_thread_wakes_it(
        self, build, monkeypatch
    ):
        server = build()
        trigger = server._server.trigger
        pull = trigger._physical_pull

        def pull_after_loop_end():
            # Another thread of the server wakes the loop first.
            pull()
            server._thread.join(_JOIN_S)
            pull()

        server.start()
        monkeypatch.setattr(trigger, '_physical_pull', pull_after_loop_end)
        server.stop()
        assert not server._thread.is_alive()

    def test_all_sockets_are_closed(self, build):
        server = build()
        server.start()
        server.stop()
        assert not server._sockets
        assert server._server.socket is None
        assert server._server.trigger._closed
