"""HTTP client with persistent connections, without pipelining."""

import asyncio
from collections.abc import Callable

import msgspec

from fescueknot.httpio.encoding import encode_request
from fescueknot.httpio.errors import (
    AnswerLostError,
    NotListeningError,
    NotSentError,
)
from fescueknot.httpio.messages import Request, Response
from fescueknot.httpio.parsing import (
    MAX_RESPONSE_BODY_BYTES,
    MAX_RESPONSE_HEAD_BYTES,
    MalformedError,
    ResponseParser,
)
from fescueknot.httpio.tcp_options import set_tcp_timeouts
from fescueknot.identity import Address

# Besides the network's errors, those of a host or port that can't exist.
_CONNECT_ERRORS = (OSError, TimeoutError, OverflowError, ValueError)
_KEEP_ALIVE_HEADER = 'keep-alive'


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the connections to one kind of server.

    A connection that was idle for ``max_idle_s`` is not used again.
    ``unacknowledged_timeout_s`` is how long sent bytes and keep-alive probes
    may stay unacknowledged before the operating system closes the connection.
    ``head_bytes`` and ``body_bytes`` are the largest accepted sizes of a
    response's head and body.
    """

    connect_timeout_s: float = 0.5
    max_idle_s: float = 8
    unacknowledged_timeout_s: float = 1.5
    max_idle_connections: int = 32
    head_bytes: int = MAX_RESPONSE_HEAD_BYTES
    body_bytes: int = MAX_RESPONSE_BODY_BYTES


class ClientConnection(asyncio.Protocol):
    """One connection to a server, with at most one request in progress."""

    def __init__(self, *, settings: ClientSettings) -> None:
        self.reusable = True
        self.idle_since_s = float(0)
        self.server_idle_timeout_s: float | None = None
        self._parser = ResponseParser(
            max_head_bytes=settings.head_bytes,
            max_body_bytes=settings.body_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future[Response] | None = None
        self._accepts: Callable[[Response], bool] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether another request may be sent."""
        return (
            self.reusable
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Deliver a response that ends with the connection, else fail."""
        self.reusable = False
        final_response = None if exc else self._parser.finish()
        if final_response is not None:
            self._deliver((final_response,))
        self._fail(f'connection lost: {exc!r}')

    def eof_received(self) -> bool:
        """Return false, so that the transport closes."""
        return False

    def data_received(self, received: bytes) -> None:
        """Parse responses; close if no request is in progress."""
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        try:
            responses = self._parser.feed(received)
        except MalformedError as error:
            self._deliver(self._parser.pop_complete())
            self._fail(f'no HTTP: {error}')
            self.close()
            return
        self._deliver(responses)

    async def exchange(
        self, request: Request, accepts: Callable[[Response], bool]
    ) -> Response:
        """Send a request and return the first response that is accepted.

        Responses that are not accepted answer earlier requests: they are
        dropped, and the connection is not used again. Raises
        :class:`AnswerLostError`.
        """
        loop = asyncio.get_running_loop()
        self._accepts = accepts
        self._response_future = loop.create_future()
        self._parser.to_head_request = request.method == 'HEAD'
        self._transport.write(encode_request(request))
        try:
            return await self._response_future
        finally:
            if not self._is_clean():
                self.close()

    def close(self) -> None:
        """Abort the connection, without sending buffered bytes."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _is_clean(self) -> bool:
        """Return whether the last exchange is complete in both directions."""
        if (
            self._response_future.cancelled()
            or not self._response_future.done()
        ):
            return False
        is_written = self._transport.get_write_buffer_size() == 0
        is_answered = self._response_future.exception() is None
        return is_answered and is_written and self._parser.is_between_messages

    def _deliver(
        self, responses: tuple[Response, ...] | list[Response]
    ) -> None:
        for response in responses:
            is_awaited = (
                self._response_future is not None
                and not self._response_future.done()
            )
            if is_awaited and self._accepts(response):
                self._apply_keep_alive(response)
                self._response_future.set_result(response)
            else:
                self.reusable = False

    def _fail(self, reason: str) -> None:
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(AnswerLostError(reason))

    def _apply_keep_alive(self, response: Response) -> None:
        if response.closing:
            self.reusable = False
        for part in (response.header(_KEEP_ALIVE_HEADER) or '').split(','):
            name, _, seconds = part.strip().partition('=')
            if name == 'timeout' and seconds.isdigit():
                self.server_idle_timeout_s = float(seconds)


class Client:
    """Connections to one server; the most recently used idle one goes first."""

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

        An open connection is reused only if it was idle for less than
        ``max_idle_s``. Raises :class:`NotSentError` if nothing was sent
        and :class:`AnswerLostError` if no complete response was received.
        """
        connection = self._pop_idle(max_idle_s) or await self._connect()
        try:
            response = await connection.exchange(
                request, accepts or _accept_any
            )
        except AnswerLostError:
            self.close()
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
        limits_s = [self._settings.max_idle_s]
        if max_idle_s is not None:
            limits_s.append(max_idle_s)
        if connection.server_idle_timeout_s is not None:
            # Half a second of margin: the server's close may be in transit.
            limits_s.append(connection.server_idle_timeout_s - 0.5)
        idle_s = now_s - connection.idle_since_s
        return connection.is_open and idle_s < min(limits_s)

    def _store_idle(self, connection: ClientConnection) -> None:
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

    def _failure_text(self, error: Exception) -> str:
        return f'cannot connect to {self._address}: {error!r}'


def _accept_any(response: Response) -> bool:
    """Accept every response."""
    return True
