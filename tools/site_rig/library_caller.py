"""A caller that leaves its connections to the standard library's client."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException

from fescueknot.platform.headers import PLATFORM_HEADERS
from tools.site_rig.caller import record_of
from tools.site_rig.exchanges import Answer, Exchange
from tools.site_rig.manners import MANNERS
from tools.site_rig.orders import Order
from tools.site_rig.records import Outcome, RecordFile
from tools.site_rig.scene import ROUTE_HOST, Host

_THREADS = 16
_POOL = ThreadPoolExecutor(_THREADS, 'library')
_CONNECT_TIMEOUT_S = 1.0


class LibraryCaller:
    """Sends requests to one node, each in a thread."""

    def __init__(self, *, host: Host, records: RecordFile) -> None:
        self.host = host
        self.idle_limit_s = float('inf')
        self._records = records
        self._idle: list[HTTPConnection] = []

    async def open(self) -> None:
        """Open nothing: the library connects when it sends."""

    async def send(self, order: Order) -> Exchange:
        """Send a request; return how it ended."""
        exchange = Exchange()
        loop = asyncio.get_running_loop()
        outcome, ended_s = await loop.run_in_executor(
            _POOL, self._send, order, exchange
        )
        exchange.end(outcome)
        exchange.ended_s = ended_s
        if outcome is not Outcome.REFUSED:
            self._records.add(
                record_of(order, exchange, self.host, MANNERS['library'])
            )
        return exchange

    def _send(self, order: Order, exchange: Exchange) -> tuple[Outcome, float]:
        exchange.began_s = time.monotonic()
        exchange.sent_s = exchange.began_s
        try:
            connection = self._connection(order, exchange)
        except OSError:
            return Outcome.REFUSED, time.monotonic()
        try:
            outcome = _exchange(connection, order, exchange)
        except TimeoutError:
            outcome = Outcome.GAVE_UP
        except (OSError, HTTPException) as error:
            exchange.is_reset = isinstance(error, ConnectionResetError)
            outcome = Outcome.ENDED
        ended_s = time.monotonic()
        self._keep_or_close(connection, outcome)
        return outcome, ended_s

    def _connection(self, order: Order, exchange: Exchange) -> HTTPConnection:
        if self._idle and not order.is_on_new_connection:
            exchange.is_kept = True
            return self._idle.pop()
        connection = HTTPConnection(
            self.host.ip, self.host.port('callers'), _CONNECT_TIMEOUT_S
        )
        connection.connect()
        connection.auto_open = 0
        return connection

    def _keep_or_close(
        self, connection: HTTPConnection, outcome: Outcome
    ) -> None:
        if outcome is Outcome.ANSWERED and connection.sock is not None:
            self._idle.append(connection)
        else:
            connection.close()


def _exchange(
    connection: HTTPConnection, order: Order, exchange: Exchange
) -> Outcome:
    """Send a request and read its answer to the end."""
    connection.sock.settimeout(order.wait_s)
    headers = {'Host': ROUTE_HOST, **order.fields()}
    connection.request(order.method, order.path, order.body, headers)
    exchange.sent_s = time.monotonic()
    response = connection.getresponse()
    response.read()
    exchange.answer = Answer(
        status=response.status,
        is_signed=response.headers.get(PLATFORM_HEADERS.signature) is not None,
        retry_after_s=float(response.headers.get('Retry-After', 0)),
    )
    return Outcome.ANSWERED
