"""Persistent HTTP connections to one server.

A lost response closes all idle connections too: if a device on the network
path has dropped the state of one connection, it may have dropped the state of
the idle connections as well.
"""

import functools
import queue
import select
import socket
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException, HTTPResponse

import msgspec

from fescueknot.clock import boot_time_s, time_left_s
from fescueknot.identity import Address
from fescueknot.objectapi.bounded_response import BoundedResponse
from fescueknot.objectapi.errors import OutcomeUnknown, Unavailable

_MAX_IDLE_CONNECTIONS = 8
_MAX_BODY_BYTES = 16_777_216
_LOST_ERRORS = (OSError, HTTPException)


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request; ``timeout_s`` bounds its whole exchange."""

    method: str
    target: str
    timeout_s: float
    headers: Mapping[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b''


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response."""

    status: int
    body: bytes
    retry_after: str = ''


class ConnectionPool:
    """Sends requests over a pool of connections; thread-safe."""

    def __init__(self, *, address: Address, connect_timeout_s: float) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: queue.LifoQueue[HTTPConnection] = queue.LifoQueue(
            maxsize=_MAX_IDLE_CONNECTIONS
        )

    def exchange(self, request: Request) -> Answer:
        """Send the request once and return its response.

        Raises ``Unavailable`` if no connection could be opened and
        ``OutcomeUnknown`` if no complete response was received.
        """
        connection = self._borrow()
        try:
            answer = _round_trip(connection, request)
        except _LOST_ERRORS as error:
            connection.close()
            self.close()
            raise OutcomeUnknown(
                f'no complete response from {self._address}: {error!r}'
            ) from error
        self._give_back(connection)
        return answer

    def close(self) -> None:
        """Close all idle connections; later requests open new ones."""
        while True:
            try:
                self._idle.get_nowait().close()
            except queue.Empty:
                return

    def _borrow(self) -> HTTPConnection:
        while True:
            try:
                connection = self._idle.get_nowait()
            except queue.Empty:
                return self._connect()
            if _is_usable(connection):
                return connection
            connection.close()

    def _connect(self) -> HTTPConnection:
        connection = HTTPConnection(
            self._address.host,
            self._address.port,
            timeout=self._connect_timeout_s,
        )
        try:
            connection.connect()
        except OSError as error:
            raise Unavailable(
                f'cannot connect to {self._address}: {error}'
            ) from error
        return connection

    def _give_back(self, connection: HTTPConnection) -> None:
        try:
            self._idle.put_nowait(connection)
        except queue.Full:
            connection.close()


def _round_trip(connection: HTTPConnection, request: Request) -> Answer:
    left_s = functools.partial(time_left_s, boot_time_s() + request.timeout_s)
    connection.sock.settimeout(left_s())
    connection.request(
        request.method,
        request.target,
        body=request.body or None,
        headers=dict(request.headers),
    )
    connection.response_class = functools.partial(
        BoundedResponse, left_s=left_s
    )
    response = connection.getresponse()
    return Answer(
        status=response.status,
        body=_read_body(response),
        retry_after=response.getheader('Retry-After', ''),
    )


def _read_body(response: HTTPResponse) -> bytes:
    """Return the body; raise ``HTTPException`` if it is too long.

    One with a length is read whole, as ``http.client`` tells only then that it
    has broken off.
    """
    if response.length is None:
        body = response.read(_MAX_BODY_BYTES + 1)
        is_too_long = len(body) > _MAX_BODY_BYTES
    else:
        is_too_long = response.length > _MAX_BODY_BYTES
        body = b'' if is_too_long else response.read()
    if is_too_long:
        raise HTTPException('the body is too long')
    return body


def _is_usable(connection: HTTPConnection) -> bool:
    """Return whether the connection is open and has no unread bytes."""
    sock: socket.socket | None = connection.sock
    if sock is None:
        return False
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return not poller.poll(0)
