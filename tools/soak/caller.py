"""A caller of the soak: keeps its connection, counts what it was told."""

import asyncio
import random
import types
from collections.abc import Callable

import msgspec

from fescueknot.httpio.errors import NotSentError
from fescueknot.httpio.messages import Request, Response
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS
from tools.soak.accounts import Credentials
from tools.soak.connection import CallerConnection, Outcome, connect
from tools.soak.habits import PLAIN, Habit
from tools.soak.lost_requests import Ended, Ending
from tools.soak.node import SoakNode
from tools.soak.promises import Promises, Told

HOST = 'soak.example'
DOWNLOAD = 'fetch'
PUBLIC = 'open'
ROUTE_TIMEOUT_MS = 1200
_PATIENCE_MS = 1500
# Routes of callers that say who they are, by whether they are idempotent.
_ROUTES = types.MappingProxyType(
    {True: ('read', DOWNLOAD, PUBLIC), False: ('post',)}
)
# Answers of downloads are of about this many ids.
_DOWNLOAD_REPEATS = 4000
_OWN_FAILURES = frozenset((500, 502, 504))


class Order(Request, frozen=True, kw_only=True):
    """A request of a caller."""

    attempt: str
    idempotent: bool
    repeats: int = 1
    key: str | None = None
    is_public: bool = False


class SoakCaller:
    """Sends requests to one node until the node's process is gone."""

    def __init__(
        self,
        *,
        node: SoakNode,
        promises: Promises,
        rng: random.Random,
        habit: Habit = PLAIN,
        credentials: Callable[[], Credentials] | None = None,
    ) -> None:
        self._node = node
        self._promises = promises
        self._rng = rng
        self._habit = habit
        self._credentials = credentials
        self._connection: CallerConnection | None = None

    async def run(self) -> None:
        """Send requests for ever."""
        while True:
            await self.ask()
            pause_s = self._rng.uniform(0, self._habit.max_pause_s)
            await asyncio.sleep(pause_s)

    async def ask(self) -> int:
        """Send requests by habit; return the last status, 0 for none."""
        idempotent = self._rng.choice((True, False))
        orders = [
            self._order(b'{}', idempotent=idempotent)
            for _ in range(self._habit.pipelined)
        ]
        return await self._exchange(orders)

    async def send(self, body: bytes, *, idempotent: bool) -> int:
        """Send a request; return the status, 0 without an answer."""
        return await self._exchange([self._order(body, idempotent=idempotent)])

    def _order(self, body: bytes, *, idempotent: bool) -> Order:
        attempt = f'{self._rng.getrandbits(64):016x}@{self._node.service}'
        shown = Credentials()
        path = 'read' if idempotent else 'post'
        if self._credentials is not None:
            shown = self._credentials()
            path = self._rng.choice(_ROUTES[idempotent])
        habit = self._habit
        if path == DOWNLOAD:
            habit = msgspec.structs.replace(habit, repeats=_DOWNLOAD_REPEATS)
        return Order(
            method='POST',
            target=f'/{path}/x',
            headers=(
                ('host', HOST),
                (HEADERS.attempt, attempt),
                (HEADERS.remaining_ms, str(_PATIENCE_MS)),
                (HEADERS.caller_service, 'forged'),
                *shown.headers(),
                *habit.headers(),
            ),
            body=body,
            attempt=attempt,
            idempotent=idempotent,
            repeats=habit.repeats,
            key=shown.key,
            is_public=path == PUBLIC,
        )

    async def _exchange(self, orders: list[Order]) -> int:
        try:
            connection = await self._open_connection()
        except NotSentError:
            # Nothing listens: a node that is stopped, or is starting.
            return 0
        sent_s = asyncio.get_running_loop().time()
        pending = [self._send(connection, order) for order in orders]
        if self._habit.read_pause_s:
            connection.read_later(self._habit.read_pause_s)
        await asyncio.wait(pending, timeout=_PATIENCE_MS / 1000)
        if not all(outcome.done() for outcome in pending):
            connection.close()
        status = 0
        for index, (order, outcome) in enumerate(
            zip(orders, pending, strict=True)
        ):
            if outcome.done():
                status = self._note(
                    order, outcome.result(), sent_s, is_behind=index > 0
                )
        return status

    async def _open_connection(self) -> CallerConnection:
        if self._connection is None or not self._connection.is_open:
            self._connection = await connect(self._node.port('callers'))
        return self._connection

    def _send(
        self, connection: CallerConnection, order: Order
    ) -> asyncio.Future[Outcome]:
        self._promises.sent(
            order.attempt,
            idempotent=order.idempotent,
            node=self._node.name,
            key=order.key,
            is_public=order.is_public,
        )
        return connection.send(order)

    def _note(
        self, order: Order, outcome: Outcome, sent_s: float, *, is_behind: bool
    ) -> int:
        """Report how a request ended; return its status, 0 for none."""
        response = outcome.response
        ending = outcome.ending
        if response is not None and _is_own_failure(response):
            ending = Ending.OWN
        self._promises.lost.ended(
            Ended(
                attempt=order.attempt,
                node=self._node.name,
                sent_s=sent_s,
                ended_s=outcome.ended_s,
                ending=ending,
                limit_s=min(ROUTE_TIMEOUT_MS, _PATIENCE_MS) / 1000,
                is_behind=is_behind,
            )
        )
        if response is None:
            return 0
        self._tell(order, response)
        return response.status

    def _tell(self, order: Order, response: Response) -> None:
        self._promises.told(
            Told(
                attempt=order.attempt,
                idempotent=order.idempotent,
                status=response.status,
                body=response.body,
                repeats=order.repeats,
                instance=response.header(HEADERS.signature) or '',
                leaving=response.header(HEADERS.leaving) is not None,
            )
        )


def _is_own_failure(response: Response) -> bool:
    is_signed = response.header(HEADERS.signature) is not None
    return response.status in _OWN_FAILURES and not is_signed
