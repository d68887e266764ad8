"""Kept connections to servers, one request at a time on each."""

import asyncio
import socket
from collections.abc import Callable

import msgspec

from fescueknot.httpio.encoding import encode_request
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.messages import Request, Response
from fescueknot.httpio.parsing import (
    RESPONSE_BODY_BYTES,
    RESPONSE_HEAD_BYTES,
    MalformedError,
    ResponseParser,
)
from fescueknot.identity import Address

_KEEP_ALIVE_HEADER = 'keep-alive'
_MS_PER_S = 1000


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the connections to one kind of server.

    ``unacknowledged_timeout_s`` is how long the system waits for sent bytes to be
    acknowledged, and between probes of a quiet connection. A response may
    have ``head_bytes`` and ``body_bytes`` at the most.
    """

    connect_timeout_s: float = 0.5
    max_idle_s: float = 8
    unacknowledged_timeout_s: float = 1.5
    max_idle_connections: int = 32
    head_bytes: int = RESPONSE_HEAD_BYTES
    body_bytes: int = RESPONSE_BODY_BYTES


class ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, *, settings: ClientSettings) -> None:
        self.reusable = True
        self.idle_since_s = float(0)
        self.server_idle_s: float | None = None
        self._parser = ResponseParser(
            head_bytes=settings.head_bytes, body_bytes=settings.body_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Response] | None = None
        self._accepts: Callable[[Response], bool] | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether another request may be sent."""
        return (
            self.reusable
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits."""
        self.reusable = False
        ended = None if exc else self._parser.finish()
        if ended is not None:
            self._take((ended,))
        self._fail(f'connection lost: {exc!r}')

    def eof_received(self) -> bool:
        """Let the transport close."""
        return False

    def data_received(self, received: bytes) -> None:
        """Read responses; unasked bytes end the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        try:
            responses = self._parser.feed(received)
        except MalformedError as error:
            self._take(self._parser.taken())
            self._fail(f'no HTTP: {error}')
            self.close()
            return
        self._take(responses)

    async def exchange(
        self, request: Request, accepts: Callable[[Response], bool]
    ) -> Response:
        """Send a request and return the first response that is accepted.

        Others belong to earlier requests: they are dropped and the
        connection isn't used again. Raises :class:`AnswerLostError`.
        """
        loop = asyncio.get_running_loop()
        self._accepts = accepts
        self._waiter = loop.create_future()
        self._parser.to_head = request.method == 'HEAD'
        self._transport.write(encode_request(request))
        try:
            return await self._waiter
        finally:
            if not self._is_clean():
                self.close()

    def close(self) -> None:
        """End the connection at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _is_clean(self) -> bool:
        """Tell whether nothing of the last exchange is left."""
        if self._waiter.cancelled() or not self._waiter.done():
            return False
        nothing_left = self._transport.get_write_buffer_size() == 0
        answered = self._waiter.exception() is None
        return answered and nothing_left and self._parser.is_between

    def _take(self, responses: tuple[Response, ...] | list[Response]) -> None:
        for response in responses:
            open_waiter = self._waiter is not None and not self._waiter.done()
            if open_waiter and self._accepts(response):
                self._note_keep_alive(response)
                self._waiter.set_result(response)
            else:
                self.reusable = False

    def _fail(self, reason: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(AnswerLostError(reason))

    def _note_keep_alive(self, response: Response) -> None:
        if response.closing:
            self.reusable = False
        for part in (response.header(_KEEP_ALIVE_HEADER) or '').split(','):
            name, _, seconds = part.strip().partition('=')
            if name == 'timeout' and seconds.isdigit():
                self.server_idle_s = float(seconds)


class Client:
    """Connections to one server; the newest idle one is used first."""

    def __init__(
        self, *, address: Address, settings: ClientSettings | None = None
    ) -> None:
        self._address = address
        self._settings = settings or ClientSettings()
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

        A kept connection is used only if it was idle for less than
        ``max_idle_s``. Raises :class:`NotSentError` when nothing was sent
        and :class:`AnswerLostError` when no whole answer came.
        """
        connection = self._kept(max_idle_s) or await self._connect()
        try:
            response = await connection.exchange(request, accepts or _any)
        except AnswerLostError:
            self.close()
            raise
        self._keep(connection)
        return response

    async def probe(self) -> None:
        """Open a connection and keep it; raise :class:`NotSentError`."""
        self._keep(await self._connect())

    def close(self) -> None:
        """End the idle connections.

        When something between both ends has lost track of one connection,
        the others are suspect.
        """
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def prune(self, now_s: float) -> None:
        """End the connections that were idle too long."""
        fresh = [one for one in self._idle if self._is_fresh(one, now_s, None)]
        for connection in self._idle:
            if connection not in fresh:
                connection.close()
        self._idle = fresh

    def _kept(self, max_idle_s: float | None) -> ClientConnection | None:
        now_s = asyncio.get_running_loop().time()
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
        bounds = [self._settings.max_idle_s]
        if max_idle_s is not None:
            bounds.append(max_idle_s)
        if connection.server_idle_s is not None:
            # Half a second for a close that is on its way.
            bounds.append(connection.server_idle_s - 0.5)
        idle_s = now_s - connection.idle_since_s
        return connection.is_open and idle_s < min(bounds)

    def _keep(self, connection: ClientConnection) -> None:
        if not connection.is_open:
            connection.close()
            return
        if len(self._idle) >= self._settings.max_idle_connections:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self._idle.append(connection)

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            transport, connection = await asyncio.wait_for(
                loop.create_connection(
                    lambda: ClientConnection(settings=self._settings),
                    self._address.host,
                    self._address.port,
                ),
                self._settings.connect_timeout_s,
            )
        except (OSError, TimeoutError) as error:
            raise NotSentError(
                f'cannot connect to {self._address}: {error!r}'
            ) from error
        self.connections_opened += 1
        watch_for_silence(
            transport.get_extra_info('socket'),
            self._settings.unacknowledged_timeout_s,
        )
        return connection


def _any(response: Response) -> bool:
    """Accept every response."""
    return True


def watch_for_silence(
    sock: socket.socket, unacknowledged_timeout_s: float
) -> None:
    """Let the system end a connection whose other side is silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(unacknowledged_timeout_s * _MS_PER_S),
        ),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)
