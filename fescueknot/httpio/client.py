"""HTTP client with persistent connections, without pipelining."""

import asyncio
from collections.abc import Callable

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.client_connection import (
    ClientConnection,
    ClientSettings,
)
from fescueknot.httpio.errors import (
    AnswerLostError,
    NotListeningError,
    NotSentError,
)
from fescueknot.httpio.late_limits import late_limit
from fescueknot.httpio.messages import Request, Response
from fescueknot.httpio.tcp_options import set_tcp_timeouts
from fescueknot.identity import Address
from fescueknot.running_loop import running_loop

# Besides the network's errors, those of a host or port that can't exist.
_CONNECT_ERRORS = (OSError, TimeoutError, OverflowError, ValueError)


class Client:
    """Connections to one server; the most recently used idle one goes first.

    Clients with the same ``buffers`` bound their responses together.
    """

    def __init__(
        self,
        *,
        address: Address,
        settings: ClientSettings | None = None,
        buffers: BufferBudget | None = None,
    ) -> None:
        self._address = address
        self._settings = settings or ClientSettings()
        self._buffers = buffers or BufferBudget()
        self._idle: list[ClientConnection] = []
        self.connections_opened = 0

    async def exchange(
        self,
        request: Request,
        accepts: Callable[[Response], bool] | None = None,
        *,
        max_idle_s: float | None = None,
    ) -> Response:
        """Send a request once and return its response.

        An open connection is reused only if it was idle for less than
        ``max_idle_s``. Raises :class:`NotSentError` if nothing was sent
        and :class:`AnswerLostError` if no complete response was received.
        """
        connection = self._pop_idle(max_idle_s)
        if connection is None:
            connection = await self._connect()
            if not connection.is_open:
                connection.close()
                raise NotSentError(
                    f'{self._address} has ended a new connection'
                )
        try:
            response = await connection.exchange(
                request, accepts or _accept_any
            )
        except AnswerLostError:
            self.close()
            raise
        except asyncio.CancelledError:
            # The response may have come in the same moment.
            connection.close()
            raise
        self._store_idle(connection)
        return response

    async def probe(self) -> None:
        """Open a connection for later use; raise :class:`NotSentError`."""
        self._store_idle(await self._connect())

    def close(self) -> None:
        """Close the idle connections.

        Called after a lost response too: if a device on the network path has
        dropped the state of one connection, it may have dropped the state of
        the idle connections as well.
        """
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def prune(self, now_s: float) -> None:
        """Close the connections that exceed an idle limit."""
        fresh = [
            connection
            for connection in self._idle
            if self._is_fresh(connection, now_s, None)
        ]
        for connection in self._idle:
            if connection not in fresh:
                connection.close()
        self._idle = fresh

    def _pop_idle(self, max_idle_s: float | None) -> ClientConnection | None:
        now_s = running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if self._is_fresh(connection, now_s, max_idle_s):
                return connection
            connection.close()
        return None

    def _is_fresh(
        self,
        connection: ClientConnection,
        now_s: float,
        max_idle_s: float | None,
    ) -> bool:
        limit_s = self._settings.max_idle_s
        if max_idle_s is not None:
            limit_s = min(limit_s, max_idle_s)
        if connection.server_idle_timeout_s is not None:
            # Half a second of margin: the server's close may be in transit.
            limit_s = min(limit_s, connection.server_idle_timeout_s - 0.5)
        idle_s = now_s - connection.idle_since_s
        return idle_s < limit_s and connection.is_open

    def _store_idle(self, connection: ClientConnection) -> None:
        # Whether it has input is seen before its next use.
        if not connection.reusable:
            connection.close()
            return
        if len(self._idle) >= self._settings.max_idle_connections:
            connection.close()
            return
        connection.idle_since_s = running_loop().time()
        self._idle.append(connection)

    async def _connect(self) -> ClientConnection:
        try:
            transport, connection = await self._open()
        except ConnectionRefusedError as error:
            raise NotListeningError(self._failure_text(error)) from error
        except _CONNECT_ERRORS as error:
            raise NotSentError(self._failure_text(error)) from error
        self.connections_opened += 1
        try:
            set_tcp_timeouts(
                transport.get_extra_info('socket'),
                self._settings.unacknowledged_timeout_s,
            )
        except OSError as error:
            # The server has reset the connection, which closed the socket.
            connection.close()
            raise NotSentError(self._failure_text(error)) from error
        return connection

    async def _open(self) -> tuple[asyncio.Transport, ClientConnection]:
        """Open a connection; raise ``TimeoutError`` if it takes too long.

        ``asyncio.wait_for`` of Python 3.11 drops a cancellation that comes
        together with the connection; a late limit does not.
        """
        async with late_limit(self._settings.connect_timeout_s):
            return await running_loop().create_connection(
                lambda: ClientConnection(
                    settings=self._settings, buffers=self._buffers
                ),
                self._address.host,
                self._address.port,
            )

    def _failure_text(self, error: Exception) -> str:
        return f'cannot connect to {self._address}: {error!r}'


def _accept_any(response: Response) -> bool:
    """Accept every response."""
    return True
