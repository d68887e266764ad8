"""Pooled keep-alive connections to one address.

A connection serves one call at a time and returns to the pool only after a
complete answer. A connection that failed is closed, so that a late answer
can't reach another call.
"""

import functools
import select
import socket
import threading
from collections import deque
from collections.abc import Callable
from http import client as http_client

from fescueknot.clock import boot_time_s, time_left_s
from fescueknot.identity import Address
from fescueknot.node import errors, headers
from fescueknot.node.messages import (
    Header,
    HttpAnswer,
    HttpRequest,
    without_headers,
)
from fescueknot.objectapi.bounded_response import BoundedResponse

_MAX_IDLE_S = 20.0
_CONNECT_TIMEOUT_S = 1.0
_CALLER_CHECK_INTERVAL_MS = 100
_READ_CHUNK_BYTES = 65536
_MAX_BODY_BYTES = 16_777_216
# ``http.client`` returns interim responses other than 100, and any number of
# three digits.
_FINAL_STATUSES = range(200, 600)

DEAD_CONNECTION_TIMEOUT_S = 4
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_DEAD_CONNECTION_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        DEAD_CONNECTION_TIMEOUT_S * 1000,
    ),
)


CallerGone = Callable[[], bool]


def never_gone() -> bool:
    """Return False, for callers that are not watched for disconnection."""
    return False


class Connection:
    """One connection and the time when it was last used."""

    def __init__(self, *, address: Address) -> None:
        self._http = http_client.HTTPConnection(
            address.host,
            address.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        self.last_used_s: float = 0

    def open(self, *, timeout_s: float) -> None:
        """Connect; raise :class:`ConnectFailedError`.

        The kernel sends keepalive probes on an idle connection, and limits the
        time until sent bytes are acknowledged. So a connection that a device
        on the path has dropped from its tables fails after about
        ``DEAD_CONNECTION_TIMEOUT_S``.
        """
        self._http.timeout = min(_CONNECT_TIMEOUT_S, timeout_s)
        try:
            self._http.connect()
        except OSError as error:
            self.close()
            raise errors.ConnectFailedError(str(error)) from error
        for option in _DEAD_CONNECTION_OPTIONS:
            self._http.sock.setsockopt(*option)

    def close(self) -> None:
        """Close the socket; the peer sees the call as cancelled."""
        self._http.close()

    def is_stale(self, *, now_s: float) -> bool:
        """Return whether the connection was closed or idle for too long."""
        if now_s - self.last_used_s > _MAX_IDLE_S or self._http.sock is None:
            return True
        return _is_readable(self._http.sock.fileno(), timeout_ms=0)

    def exchange(
        self,
        request: HttpRequest,
        *,
        deadline_s: float,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Send ``request`` and return the complete answer.

        Raise :class:`AnswerLostError` when the answer is truncated or late,
        or the caller disconnects. An answer whose bytes come one by one is late
        too.
        """
        try:
            return self._exchange(request, deadline_s, caller_gone)
        except TimeoutError as error:
            raise errors.AnswerTimeoutError(
                'no complete answer before the deadline'
            ) from error
        except (OSError, http_client.HTTPException) as error:
            raise errors.AnswerLostError(repr(error)) from error

    def _exchange(
        self,
        request: HttpRequest,
        deadline_s: float,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        self._send(request, deadline_s)
        self._await_answer(deadline_s, caller_gone)
        return self._receive(deadline_s)

    def _send(self, request: HttpRequest, deadline_s: float) -> None:
        self._http.sock.settimeout(time_left_s(deadline_s))
        fields = {header.name: header.text for header in request.headers}
        self._http.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=fields,
        )

    def _await_answer(
        self,
        deadline_s: float,
        caller_gone: CallerGone,
    ) -> None:
        descriptor = self._http.sock.fileno()
        while not _is_readable(
            descriptor, timeout_ms=_CALLER_CHECK_INTERVAL_MS
        ):
            if boot_time_s() >= deadline_s:
                raise TimeoutError
            if caller_gone():
                raise errors.CallerGoneError('the caller went away')

    def _receive(self, deadline_s: float) -> HttpAnswer:
        self._http.response_class = functools.partial(
            BoundedResponse,
            left_s=functools.partial(time_left_s, deadline_s),
        )
        response = self._http.getresponse()
        if response.status not in _FINAL_STATUSES:
            raise http_client.HTTPException(f'status {response.status}')
        fields = tuple(
            Header(name=name, text=text) for name, text in response.getheaders()
        )
        chunks = []
        left_bytes = _MAX_BODY_BYTES
        while not response.isclosed():
            chunks.append(response.read(_READ_CHUNK_BYTES))
            left_bytes -= len(chunks[-1])
            if left_bytes < 0:
                raise http_client.HTTPException('the body is too long')
        return HttpAnswer(
            status=response.status,
            reason=response.reason,
            headers=fields,
            body=b''.join(chunks),
        )


class ConnectionPool:
    """A pool of idle connections to one address; thread-safe."""

    def __init__(self, *, address: Address) -> None:
        self.address = address
        self._idle: deque[Connection] = deque()
        self._lock = threading.Lock()

    def call(
        self,
        request: HttpRequest,
        *,
        deadline_s: float,
        caller_gone: CallerGone = never_gone,
    ) -> HttpAnswer:
        """Return the complete answer to ``request``.

        Raise :class:`TransportError`; its ``outcome`` states whether the
        request may have run.
        """
        connection = self._borrow(deadline_s)
        try:
            answer = connection.exchange(
                request,
                deadline_s=deadline_s,
                caller_gone=caller_gone,
            )
        except errors.TransportError:
            connection.close()
            self.drop_idle()
            raise
        self._give_back(connection, answer)
        return answer

    def drop_idle(self) -> None:
        """Close all idle connections.

        After a failure of one connection all of them are suspect.
        """
        with self._lock:
            dropped = tuple(self._idle)
            self._idle.clear()
        for connection in dropped:
            connection.close()

    def _borrow(self, deadline_s: float) -> Connection:
        now_s = boot_time_s()
        while True:
            connection = self._pop_idle()
            if connection is None:
                break
            if not connection.is_stale(now_s=now_s):
                return connection
            connection.close()
        opened = Connection(address=self.address)
        opened.open(timeout_s=max(deadline_s - now_s, 0.001))
        return opened

    def _pop_idle(self) -> Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _give_back(self, connection: Connection, answer: HttpAnswer) -> None:
        if answer.header('connection').lower() == 'close':
            connection.close()
            return
        connection.last_used_s = boot_time_s()
        with self._lock:
            self._idle.append(connection)


def _is_readable(descriptor: int, *, timeout_ms: int) -> bool:
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(timeout_ms))


def request_with(request: HttpRequest, *extra: Header) -> HttpRequest:
    """Return ``request`` with its end-to-end headers and ``extra``.

    A header of ``extra`` replaces headers of the same name.
    """
    replaced = frozenset(header.name.lower() for header in extra)
    kept = without_headers(headers.end_to_end(request.headers), replaced)
    return HttpRequest(
        method=request.method,
        path=request.path,
        headers=kept + extra,
        body=request.body,
    )
