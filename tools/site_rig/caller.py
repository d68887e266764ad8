"""A caller of one node: kept connections and the records of its requests."""

import asyncio
import random
import time

import msgspec

from fescueknot.platform.headers import PLATFORM_HEADERS
from tools.site_rig.exchanges import CallerConnection, Exchange
from tools.site_rig.records import Outcome, RecordFile, RequestRecord
from tools.site_rig.scene import ROUTE_HOST, Host

_CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1000
_MOST_IN_PIPELINE = 3
# A caller hears of a deadline a little after the node.
_PATIENCE_S = 0.1
_NEWEST_SHARE = 0.5


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A request to send; ``limit_ms`` is the time limit of its route."""

    attempt: str
    method: str
    path: str
    deadline_ms: int
    limit_ms: float
    body: bytes = b''
    is_pipelined: bool = False
    is_on_new_connection: bool = False

    @property
    def wait_s(self) -> float:
        """Return how long the caller waits; the answer is on its way."""
        return self.deadline_ms / _MS_PER_S + _PATIENCE_S

    def head(self) -> bytes:
        """Return the bytes before the body."""
        return (
            f'{self.method} {self.path} HTTP/1.1\r\n'
            f'host: {ROUTE_HOST}\r\n'
            f'{PLATFORM_HEADERS.attempt}: {self.attempt}\r\n'
            f'{PLATFORM_HEADERS.remaining_ms}: '
            f'{self.deadline_ms}\r\n'
            f'content-length: {len(self.body)}\r\n\r\n'
        ).encode()


class Caller:
    """Sends requests to one node, over as many connections as needed."""

    def __init__(
        self, *, host: Host, records: RecordFile, rng: random.Random
    ) -> None:
        self.host = host
        self.idle_limit_s = float('inf')
        self._records = records
        self._rng = rng
        self._connections: list[CallerConnection] = []

    async def send(self, order: Order) -> Exchange:
        """Send a request; return how it ended."""
        exchange = Exchange()
        try:
            connection = await self._connection(order)
        except OSError:
            exchange.began_s = time.monotonic()
            exchange.sent_s = exchange.began_s
            exchange.end(Outcome.REFUSED)
            return exchange
        connection.send(exchange, order.head(), order.body)
        try:
            await exchange.wait(order.wait_s)
        except TimeoutError:
            connection.close()
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self._note(order, exchange)
        return exchange

    async def open(self) -> None:
        """Open a connection for later requests."""
        try:
            await self._new_connection()
        except OSError:
            return

    async def _connection(self, order: Order) -> CallerConnection:
        self._forget_unusable()
        found = [
            connection
            for connection in self._connections
            if connection.waiting < _limit(order)
        ]
        if order.is_on_new_connection or not found:
            return await self._new_connection()
        found.sort(key=CallerConnection.order)
        is_newest = self._rng.random() < _NEWEST_SHARE
        return found[-1] if is_newest else found[0]

    async def _new_connection(self) -> CallerConnection:
        loop = asyncio.get_running_loop()
        opening = loop.create_connection(
            CallerConnection, self.host.ip, self.host.port('callers')
        )
        _, connection = await asyncio.wait_for(opening, _CONNECT_TIMEOUT_S)
        self._connections.append(connection)
        return connection

    def _forget_unusable(self) -> None:
        oldest_s = time.monotonic() - self.idle_limit_s
        self._connections = [
            connection
            for connection in self._connections
            if connection.is_usable
            and (connection.waiting or connection.idle_since_s > oldest_s)
        ]

    def _note(self, order: Order, exchange: Exchange) -> None:
        self._records.add(
            RequestRecord(
                attempt=order.attempt,
                host=self.host.name,
                began_s=exchange.began_s,
                sent_s=exchange.sent_s,
                ended_s=exchange.ended_s,
                outcome=exchange.outcome,
                time_left_s=min(order.deadline_ms, order.limit_ms) / _MS_PER_S,
                status=exchange.status,
                is_signed=exchange.is_signed,
                is_behind=exchange.is_behind,
                is_kept=exchange.is_kept,
                is_reset=exchange.is_reset,
            )
        )


def _limit(order: Order) -> int:
    return _MOST_IN_PIPELINE if order.is_pipelined else 1
