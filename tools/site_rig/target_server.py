"""Where a target listens: it can end, crash or fall silent."""

import asyncio
import socket

from tools.site_rig.target_connection import App, TargetConnection

_BACKLOG = 100
# As many connections fill the shortest queue of the kernel, so that nobody
# gets another one and nobody is refused.
_FILLING = 2


class TargetServer:
    """Listens at an address; all its connections end with it."""

    def __init__(self, *, app: App, ip: str, port: int) -> None:
        self._app = app
        self._address = (ip, port)
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._filling: list[socket.socket] = []

    @property
    def address(self) -> tuple[str, int]:
        """Return where it listens."""
        return self._address

    async def open(self) -> None:
        """Start to listen."""
        self._socket = socket.create_server(self._address, backlog=_BACKLOG)
        self._address = self._socket.getsockname()
        self._server = await asyncio.get_running_loop().create_server(
            self._connection, sock=self._socket, backlog=_BACKLOG
        )

    def close(self) -> None:
        """End at once: nobody listens, and all connections end."""
        for filling in self._filling:
            filling.close()
        self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def darken(self) -> None:
        """Fall silent: nothing is read, answered, accepted or refused."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(_FILLING):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(self._address)
            self._filling.append(filling)
        for connection in tuple(self._connections):
            connection.darken()

    def _connection(self) -> '_Connection':
        return _Connection(app=self._app, others=self._connections)


class _Connection(TargetConnection):
    def __init__(self, *, app: App, others: set['_Connection']) -> None:
        super().__init__(app=app)
        self._others = others

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin to serve."""
        super().connection_made(transport)
        self._others.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the requests."""
        super().connection_lost(error)
        self._others.discard(self)

    def abort(self) -> None:
        """Drop the requests and end the connection."""
        self._work.cancel()
        self._transport.abort()

    def darken(self) -> None:
        """Drop the requests without a word."""
        self._work.cancel()
        self._transport.pause_reading()
