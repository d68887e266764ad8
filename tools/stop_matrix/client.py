"""A client of one node, and the records of its requests."""

import asyncio
import itertools
import socket
import time

import msgspec

from fescueknot.platform.headers import PLATFORM_HEADERS
from tools.site_rig.exchanges import Exchange
from tools.site_rig.records import RecordFile, RequestRecord
from tools.site_rig.scene import ROUTE_HOST, Host
from tools.stop_matrix.links import LinkedConnection

_DEADLINE_MS = 6000
_MS_PER_S = 1000
_PATIENCE_S = 0.3
_CONNECT_TIMEOUT_S = 1.0
_SMALL_BUFFER_BYTES = 65_536
_numbers = itertools.count(1)


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """A request; each part of its body is sent after a pause.

    The parts of a chunked body are its bytes on the wire.
    """

    path: str
    parts: tuple[tuple[float, bytes], ...] = ()
    is_chunked: bool = False
    more_headers: str = ''
    half_closes: bool = False
    attempt: str = ''
    deadline_ms: int = _DEADLINE_MS

    @property
    def deadline_s(self) -> float:
        """Return how long the client waits."""
        return self.deadline_ms / _MS_PER_S

    def head(self, attempt: str) -> bytes:
        """Return the bytes before the body; with a body it is a POST."""
        method = 'POST' if self.parts else 'GET'
        return (
            f'{method} {self.path} HTTP/1.1\r\n'
            f'host: {ROUTE_HOST}\r\n'
            f'{PLATFORM_HEADERS.attempt}: {attempt}\r\n'
            f'{PLATFORM_HEADERS.remaining_ms}: {self.deadline_ms}\r\n'
            f'{self.more_headers}{self._framing()}\r\n'
        ).encode()

    def _framing(self) -> str:
        if self.is_chunked:
            return 'transfer-encoding: chunked\r\n'
        size = sum(len(part) for _, part in self.parts)
        return f'content-length: {size}\r\n' if size else ''


class Client:
    """Sends requests; times are counted from the trouble on."""

    def __init__(
        self,
        *,
        name: str,
        host: Host,
        trouble_s: float,
        delay_s: float,
        records: RecordFile,
    ) -> None:
        self._name = name
        self._delay_s = delay_s
        self._host = host
        self._trouble_s = trouble_s
        self._records = records

    @property
    def now_s(self) -> float:
        """Return the time since the trouble, negative before it."""
        return time.monotonic() - self._trouble_s

    async def until(self, at_s: float) -> None:
        """Wait for a time."""
        await asyncio.sleep(at_s - self.now_s)

    async def open(self, bytes_per_s: float = 0) -> LinkedConnection | None:
        """Open a connection, read at a rate; ``None`` if that fails."""
        sock = socket.socket()
        sock.setblocking(False)
        if bytes_per_s:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        try:
            return await self._connect(sock, bytes_per_s)
        except (OSError, TimeoutError):
            sock.close()
        return None

    async def ask(
        self, connection: LinkedConnection | None, ask: Ask
    ) -> Exchange | None:
        """Send a request and wait for its end; ``None`` if it isn't sent."""
        if connection is None or not connection.is_usable:
            return None
        attempt = ask.attempt or f'{self._name}.{next(_numbers)}'
        exchange = Exchange()
        connection.send(exchange, ask.head(attempt), b'')
        sending = asyncio.ensure_future(_send(connection, exchange, ask))
        try:
            await exchange.wait(ask.deadline_s + _PATIENCE_S)
        except TimeoutError:
            connection.close()
        if sending.done() or exchange.answer.status:
            self._note(attempt, exchange, ask)
        sending.cancel()
        return exchange

    async def _connect(
        self, sock: socket.socket, bytes_per_s: float
    ) -> LinkedConnection:
        loop = asyncio.get_running_loop()
        address = (self._host.ip, self._host.port('callers'))
        await asyncio.wait_for(
            loop.sock_connect(sock, address), _CONNECT_TIMEOUT_S
        )
        _, connection = await loop.create_connection(
            lambda: LinkedConnection(
                delay_s=self._delay_s, bytes_per_s=bytes_per_s
            ),
            sock=sock,
        )
        return connection

    def _note(self, attempt: str, exchange: Exchange, ask: Ask) -> None:
        self._records.add(
            RequestRecord(
                attempt=attempt,
                host=self._host.name,
                began_s=exchange.began_s,
                sent_s=exchange.sent_s,
                ended_s=exchange.ended_s or time.monotonic(),
                outcome=exchange.outcome,
                time_left_s=ask.deadline_s,
                status=exchange.answer.status,
                is_signed=exchange.answer.is_signed,
                is_behind=exchange.is_behind,
                is_kept=exchange.is_kept,
                is_reset=exchange.is_reset,
            )
        )


async def _send(
    connection: LinkedConnection, exchange: Exchange, ask: Ask
) -> None:
    """Send the body, and half-close if the client does."""
    for pause_s, part in ask.parts:
        if pause_s:
            await asyncio.sleep(pause_s)
        connection.send_more(exchange, part)
    if ask.half_closes:
        connection.end_sending()
