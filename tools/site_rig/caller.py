"""A caller of one node: kept connections and the records of its requests."""

import asyncio
import random
import socket
import time

from tools.site_rig.caller_connection import CallerConnection
from tools.site_rig.exchanges import Exchange
from tools.site_rig.manners import USUAL, Manner
from tools.site_rig.orders import Order
from tools.site_rig.records import Outcome, RecordFile, RequestRecord
from tools.site_rig.scene import Host

_CONNECT_TIMEOUT_S = 1.0
_MOST_IN_PIPELINE = 3
_NEWEST_SHARE = 0.5
# So that a slow reader holds up the sender of a larger answer.
_SMALL_BUFFER_BYTES = 4096


class Caller:
    """Sends requests to one node, over as many connections as needed."""

    def __init__(
        self,
        *,
        host: Host,
        records: RecordFile,
        rng: random.Random,
        manner: Manner = USUAL,
        delay_s: float = 0,
    ) -> None:
        self.host = host
        self.idle_limit_s = float('inf')
        self._records = records
        self._rng = rng
        self._manner = manner
        self._delay_s = delay_s
        self._connections: list[CallerConnection] = []

    async def send(self, order: Order) -> Exchange:
        """Send a request; return how it ended."""
        exchange = Exchange()
        try:
            connection = await self._connection(order)
        except OSError:
            exchange.began_s = time.monotonic()
            exchange.end(Outcome.REFUSED)
            return exchange
        connection.send(exchange, order.head(self._manner), order.body)
        try:
            await exchange.wait(order.wait_s)
        except TimeoutError:
            connection.close()
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            record = record_of(order, exchange, self.host, self._manner)
            self._records.add(record)
        return exchange

    async def open(self) -> None:
        """Open a connection for later requests."""
        try:
            await self._new_connection()
        except OSError:
            return

    def close(self) -> None:
        """Close all connections."""
        for ended in self._connections:
            ended.close()

    async def _connection(self, order: Order) -> CallerConnection:
        self._forget_unusable()
        found = [
            connection
            for connection in self._connections
            if connection.takes_more and connection.waiting < _limit(order)
        ]
        if order.is_on_new_connection or not found:
            return await self._new_connection()
        found.sort(key=_order)
        is_newest = self._rng.random() < _NEWEST_SHARE
        return found[-1] if is_newest else found[0]

    async def _new_connection(self) -> CallerConnection:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await self._connect()
        self._connections.append(connection)
        return connection

    async def _connect(self) -> CallerConnection:
        loop = asyncio.get_running_loop()
        # The opening takes a way there and back.
        await asyncio.sleep(2 * self._delay_s)
        own_socket = socket.socket()
        own_socket.setblocking(False)
        if self._manner.read_pause_s:
            own_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        address = (self.host.ip, self.host.port('callers'))
        try:
            await loop.sock_connect(own_socket, address)
        except BaseException:
            own_socket.close()
            raise
        _, connection = await loop.create_connection(
            self._make_connection, sock=own_socket
        )
        return connection

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(manner=self._manner, delay_s=self._delay_s)

    def _forget_unusable(self) -> None:
        oldest_s = time.monotonic() - self.idle_limit_s
        for ended in self._connections:
            if not ended.is_usable and not ended.waiting:
                ended.close()
        self._connections = [
            connection
            for connection in self._connections
            if connection.is_usable
            and (connection.waiting or connection.idle_since_s > oldest_s)
        ]


def record_of(
    order: Order, exchange: Exchange, host: Host, manner: Manner
) -> RequestRecord:
    """Return the record of a request that has ended."""
    return RequestRecord(
        attempt=order.attempt,
        host=host.name,
        began_s=exchange.began_s,
        sent_s=exchange.sent_s,
        ended_s=exchange.ended_s,
        outcome=exchange.outcome,
        time_left_s=order.time_left_s,
        status=exchange.answer.status,
        is_signed=exchange.answer.is_signed,
        is_behind=exchange.is_behind,
        is_kept=exchange.is_kept,
        is_reset=exchange.is_reset,
        manner=manner.name,
    )


def _order(connection: CallerConnection) -> tuple[int, float]:
    """Return a key that puts the connection used last at the end."""
    return connection.waiting, connection.idle_since_s


def _limit(order: Order) -> int:
    return _MOST_IN_PIPELINE if order.is_pipelined else 1
