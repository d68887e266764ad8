"""A caller of the soak: keeps its connections, counts what it was told."""

import asyncio
import random

from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.messages import Request
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS
from tools.soak.node import SoakNode
from tools.soak.promises import Promises, Told

HOST = 'soak.example'
_PAUSE_S = 0.03
_PATIENCE_MS = 1500
_SETTINGS = ClientSettings(connect_timeout_s=0.5, max_idle_s=3)


class SoakCaller:
    """Sends requests to one node, one after the other."""

    def __init__(
        self, *, node: SoakNode, promises: Promises, rng: random.Random
    ) -> None:
        self._node = node
        self._promises = promises
        self._rng = rng
        self._client = Client(address=node.port('callers'), settings=_SETTINGS)

    async def run(self) -> None:
        """Send requests for ever."""
        while True:
            await self.ask()
            await asyncio.sleep(self._rng.uniform(0, 2 * _PAUSE_S))

    async def ask(self) -> int:
        """Send one request; return the status, 0 without an answer."""
        return await self.send(
            b'{}', idempotent=self._rng.choice((True, False))
        )

    async def send(self, body: bytes, *, idempotent: bool) -> int:
        """Send a request; return the status, 0 without an answer."""
        attempt = f'{self._rng.getrandbits(64):016x}@{self._node.service}'
        path = 'read' if idempotent else 'post'
        request = Request(
            method='POST',
            target=f'/{path}/x',
            headers=(
                ('host', HOST),
                (HEADERS.attempt, attempt),
                (HEADERS.remaining_ms, str(_PATIENCE_MS)),
                (HEADERS.caller_service, 'forged'),
            ),
            body=body,
        )
        self._promises.sent(
            attempt, idempotent=idempotent, node=self._node.name
        )
        try:
            response = await asyncio.wait_for(
                self._client.exchange(request), _PATIENCE_MS / 1000
            )
        except (HttpIoError, TimeoutError):
            return 0
        self._promises.told(
            Told(
                attempt=attempt,
                idempotent=idempotent,
                status=response.status,
                body=response.body,
                instance=response.header(HEADERS.signature) or '',
                leaving=response.header(HEADERS.leaving) is not None,
            )
        )
        return response.status
