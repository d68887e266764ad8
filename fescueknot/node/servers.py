"""HTTP servers: one waitress server and its threads per port.

Waitress reads a complete request before a thread handles it, so that a slow
or truncated request occupies a connection and no thread.
"""

import threading

import msgspec
from waitress.server import create_server

from fescueknot.identity import Address
from fescueknot.node.wsgi import Application, Handler, application
from fescueknot.settings.model import NodeSettings
from fescueknot.wsgi_stop import ServerStop

_BACKLOG = 256
_CLEANUP_INTERVAL_S = 5
# For the last answers of a planned stop to be sent.
_LAST_ANSWERS_S = 1.0


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one server.

    Connections without traffic for ``idle_timeout_s`` are closed, also in the
    middle of a request.
    """

    threads: int
    connections: int
    header_bytes: int
    body_bytes: int
    idle_timeout_s: int


class HttpServer:
    """A listening port, its input thread and its worker threads."""

    def __init__(
        self,
        *,
        address: Address,
        app: Application,
        limits: ServerLimits,
    ) -> None:
        self._sockets: dict = {}
        self._server = create_server(
            app,
            map=self._sockets,
            host=address.host,
            port=address.port,
            threads=limits.threads,
            connection_limit=limits.connections,
            channel_timeout=limits.idle_timeout_s,
            cleanup_interval=_CLEANUP_INTERVAL_S,
            max_request_body_size=limits.body_bytes,
            max_request_header_size=limits.header_bytes,
            channel_request_lookahead=1,
            backlog=_BACKLOG,
            ident=None,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        self._thread = threading.Thread(
            target=self._server.run,
            name=f'http-{address.port}',
            daemon=True,
        )

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Send the last answers, close all connections, end the threads."""
        stop = ServerStop(
            server=self._server,
            sockets=self._sockets,
            max_wait_s=_LAST_ANSWERS_S,
        )
        stop.run(self._thread)


def build_servers(
    settings: NodeSettings,
    *,
    entry: Handler,
    peer: Handler,
    ops: Handler,
) -> tuple[HttpServer, ...]:
    """Return the servers of a node's three ports; none is started."""
    addresses = settings.addresses
    threads = settings.threads
    return (
        _build_server(settings, addresses.entry, entry, threads.entry),
        _build_server(settings, addresses.peer, peer, threads.peer),
        _build_server(settings, addresses.ops, ops, threads.ops),
    )


def _build_server(
    settings: NodeSettings,
    address: Address,
    handler: Handler,
    threads: int,
) -> HttpServer:
    limits = ServerLimits(
        threads=threads,
        connections=settings.limits.max_connections,
        header_bytes=settings.limits.max_header_bytes,
        body_bytes=settings.limits.max_body_bytes,
        idle_timeout_s=int(settings.timing.request_head_timeout_s),
    )
    return HttpServer(
        address=address,
        app=application(handler),
        limits=limits,
    )
