"""Tests that unresponsive connections do not delay calls on new ones."""

import contextlib
import socket
import socketserver
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from fescueknot.identity import Address
from fescueknot.objectapi import connections as connections_module
from fescueknot.objectapi.connections import ConnectionPool, Request
from fescueknot.objectapi.errors import OutcomeUnknown, Unavailable
from fescueknot.objectapi.http_store import HttpStore
from fescueknot.objectapi.messages import WatchBatch
from tests.slow_sockets import SlowSockets

_BATCH = b'{"events":[],"revision":0}'
_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
    len(_BATCH),
    _BATCH,
)
_SIMULTANEOUS_REQUESTS = 2
_MAX_REQUEST_BYTES = 65_536
# For what the server never sends, and for what it always sends.
_SHORT_S = 0.01
_AMPLE_S = 600


class _AnswerOnceServer(socketserver.ThreadingTCPServer):
    """Answers the first request of each connection and ignores the second.

    The responses to the first two requests are sent at the same time, so that
    a client opens two connections. Only one request is ignored: a connection
    on which one more arrives is closed, so that nobody waits for its answer.
    """

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), _answer_once)
        self._lock = threading.Lock()
        self._answered = 0
        self._ignored = 0
        self._barrier = threading.Barrier(_SIMULTANEOUS_REQUESTS)

    def wait_for_simultaneous_requests(self) -> None:
        with self._lock:
            self._answered += 1
            is_simultaneous = self._answered <= _SIMULTANEOUS_REQUESTS
        if is_simultaneous:
            self._barrier.wait()

    def may_ignore(self) -> bool:
        with self._lock:
            self._ignored += 1
            return self._ignored == 1


def _answer_once(
    connection: socket.socket, _address: object, server: _AnswerOnceServer
) -> None:
    connection.recv(_MAX_REQUEST_BYTES)
    server.wait_for_simultaneous_requests()
    connection.sendall(_RESPONSE)
    if connection.recv(_MAX_REQUEST_BYTES) and server.may_ignore():
        connection.recv(_MAX_REQUEST_BYTES)


@pytest.fixture
def server() -> Iterator[_AnswerOnceServer]:
    with _AnswerOnceServer() as running:
        threading.Thread(target=running.serve_forever, daemon=True).start()
        yield running
        running.shutdown()


class TestUnresponsiveConnections:
    """A lost response closes the other idle connections too."""

    # Guards against a limit that a busy machine exceeds: only the call whose
    # response is never sent has a short one.
    def test_the_call_after_a_lost_response_opens_a_new_connection(
        self, server: _AnswerOnceServer
    ) -> None:
        host, port = server.server_address
        store = HttpStore(
            address=Address(host=host, port=port),
            connect_timeout_s=_AMPLE_S,
            answer_timeout_s=_SHORT_S,
        )
        with ThreadPoolExecutor(_SIMULTANEOUS_REQUESTS) as pool:
            batches = list(pool.map(_watch, (store, store)))
        with pytest.raises(Unavailable):
            store.list('')
        batches.append(_watch(store))
        assert [batch.revision for batch in batches] == [0, 0, 0]
        store.close()


def _watch(store: HttpStore) -> WatchBatch:
    return store.watch('', since_revision=0, timeout_s=_AMPLE_S)


_LONG_ANSWERS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 17000000\r\n\r\n' + bytes(17_000_000),
    b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n' + bytes(17_000_000),
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    + (b'10000\r\n' + bytes(65_536) + b'\r\n') * 260
    + b'0\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n' * 200_000
    + b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
    + b'X: y\r\n' * 800_000
    + b'\r\n',
)
# Each is longer than the reads for which there is time.
_TRICKLES = (
    b'HTTP/1.1 100 Continue\r\n\r\n' * 50 + _RESPONSE,
    b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n' + bytes(99),
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    + b'1\r\nx\r\n' * 50
    + b'0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n' + bytes(99),
)


class _LongAnswer(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        self.request.recv(_MAX_REQUEST_BYTES)
        with contextlib.suppress(OSError):
            self.request.sendall(self.server.answer)


@contextlib.contextmanager
def _pool_of(answer: bytes) -> Iterator[ConnectionPool]:
    """Serve one answer to all requests of a pool."""
    with socketserver.ThreadingTCPServer(
        ('127.0.0.1', 0), _LongAnswer
    ) as server:
        server.answer = answer
        threading.Thread(target=server.serve_forever, daemon=True).start()
        host, port = server.server_address
        yield ConnectionPool(
            address=Address(host=host, port=port), connect_timeout_s=5
        )
        server.shutdown()


@pytest.mark.parametrize('answer', _LONG_ANSWERS)
def test_a_very_long_answer_is_lost(answer: bytes) -> None:
    # Guards against stores that send until the process has no memory.
    request = Request(method='GET', target='/', timeout_s=20)
    with _pool_of(answer) as pool, pytest.raises(OutcomeUnknown):
        pool.exchange(request)


@pytest.mark.parametrize(
    'answer', _TRICKLES, ids=['interim', 'body', 'chunks', 'close']
)
def test_one_that_trickles_in_is_lost(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a wait of the whole time again for each byte.
    request = Request(method='GET', target='/', timeout_s=6)
    with _pool_of(answer) as pool:
        slow = SlowSockets(monkeypatch, connections_module)
        with pytest.raises(OutcomeUnknown):
            pool.exchange(request)
    assert slow.reads <= 48
