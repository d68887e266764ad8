"""A target of the soak: runs requests and announces itself to its node."""

import asyncio
import random
import time
import types
from collections.abc import Callable

import msgspec

from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Headers, Limits, Request, Response
from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS
from tools.soak.habits import REPEATS_HEADER, WORK_HEADER
from tools.soak.load_figures import LoadFigures
from tools.soak.lost_requests import RunEnding
from tools.soak.promises import Promises

_BEAT_S = 0.4
_WORK_S = 0.02
_SLOTS = 8
_MS_PER_S = 1000
_ENDINGS = types.MappingProxyType(
    {True: RunEnding.ANSWERED, False: RunEnding.BROKE_OFF}
)


class SoakTarget(Handler):
    """One target; ``renew`` makes it a new start under a new id."""

    def __init__(
        self,
        *,
        service: str,
        node_name: str,
        drain_s: float,
        promises: Promises,
        rng: random.Random,
        reports_load: bool = False,
    ) -> None:
        self.service = service
        self.node_name = node_name
        self.address = Address(host='127.0.0.1', port=0)
        self.instance = ''
        self.lose_answers = float(0)
        self.on_crash: Callable[[], None] | None = None
        self.is_down = False
        self._drain_s = drain_s
        self._promises = promises
        self._rng = rng
        self._sequence = 0
        self._started_ms = 0
        self._state = 'ready'
        self._left_s: float | None = None
        self._rate_limit_per_s: float | None = None
        self._announces_leaving = False
        self._node: Client | None = None
        self._load = LoadFigures(rng=rng, slots=_SLOTS, is_on=reports_load)
        self.renew()

    def renew(self) -> None:
        """Start again: nothing of before is known."""
        self.instance = f'i-{self._rng.getrandbits(40):010x}'
        self._started_ms = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self._state = 'ready'
        self._left_s = None
        self._rate_limit_per_s = None
        self._announces_leaving = False

    def announce_limit(self, rate_per_s: float | None) -> None:
        """Name a limit in all answers from now on; ``None`` for none."""
        self._rate_limit_per_s = rate_per_s
        now_s = asyncio.get_running_loop().time()
        self._promises.announcements.limit(self.instance, rate_per_s, now_s)

    def announce_leaving(self) -> None:
        """Say in all answers, but in no heartbeat, that the target leaves."""
        self._announces_leaving = True

    def limits(self) -> Limits:
        """Return wide limits."""
        return Limits(idle_timeout_s=5)

    async def start(self) -> None:
        """Listen on a free port."""
        server = Server(handler=self, report_error=lambda error: None)
        await server.listen('127.0.0.1', 0)
        port = server.port
        self.address = Address(host='127.0.0.1', port=port)

    async def announce(self, node: Address, known_as: Address) -> None:
        """Send heartbeats for ever."""
        self._node = Client(
            address=node, settings=ClientSettings(connect_timeout_s=0.3)
        )
        while True:
            is_silent = self._left_s is not None or self.is_down
            if self._state != 'left' and not is_silent:
                await self._beat(known_as)
            await asyncio.sleep(_BEAT_S)

    async def drain(self, known_as: Address) -> None:
        """Say that the target leaves, until it is acknowledged."""
        self._state = 'draining'
        while not await self._beat(known_as):
            await asyncio.sleep(_BEAT_S)
        self._left_s = asyncio.get_running_loop().time()

    async def leave(self) -> None:
        """Say that the target has left, until it is acknowledged.

        It has not reported that it drains, and sends no heartbeat any more.
        """
        self._state = 'left'
        notice = Request(
            method='DELETE',
            target=f'/v1/instances/{self.instance}',
            headers=(('host', 'node'),),
        )
        while not await self._is_acknowledged(notice):
            await asyncio.sleep(_BEAT_S)
        self._left_s = asyncio.get_running_loop().time()

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Run one request."""
        attempt = request.header(HEADERS.attempt) or ''
        echo = (HEADERS.attempt, attempt)
        if request.header(HEADERS.expected_instance) != self.instance:
            headers = (echo, (HEADERS.instance, self.instance))
            return Response(status=421, headers=headers)
        instance = self.instance
        self._promises.arrived(attempt, instance, request.body, self.node_name)
        self._promises.names_account(attempt, request.headers)
        self._note(request, attempt)
        loop = asyncio.get_running_loop()
        run = self._promises.lost.began(attempt, loop.time())
        ending = RunEnding.CUT
        try:
            with self._load.counted():
                response = await self._run(request, attempt, instance)
            ending = _ENDINGS[response is not None]
        finally:
            run.end(ending, loop.time())
        return response

    async def _run(
        self, request: Request, attempt: str, instance: str
    ) -> Response | None:
        work_s = self._rng.uniform(0, 2 * _WORK_S)
        work_s += int(request.header(WORK_HEADER) or 0) / _MS_PER_S
        await asyncio.sleep(work_s)
        if self._promises.crashing.is_crashing(request.body):
            self._crash_under(request.body, instance)
            return None
        if self._rng.random() < self.lose_answers:
            return None
        signed = (HEADERS.signature, instance)
        echo = (HEADERS.attempt, attempt)
        repeats = int(request.header(REPEATS_HEADER) or 1)
        return Response(
            status=200,
            headers=(echo, signed, *self._announcements()),
            body=attempt.encode() * repeats,
        )

    def _crash_under(self, body: bytes, instance: str) -> None:
        if self.is_down or instance != self.instance:
            return
        now_s = asyncio.get_running_loop().time()
        self._promises.crashing.crashed(body, now_s)
        self.on_crash()

    def _announcements(self) -> Headers:
        announced = list(self._load.headers())
        if self._rate_limit_per_s is not None:
            limit = str(self._rate_limit_per_s)
            announced.append((HEADERS.rate_limit, limit))
        if self._announces_leaving or self._state == 'draining':
            announced.append((HEADERS.leaving, '1'))
        return tuple(announced)

    def _note(self, request: Request, attempt: str) -> None:
        left_for_s = -1.0
        if self._left_s is not None:
            now_s = asyncio.get_running_loop().time()
            left_for_s = now_s - self._left_s - self._drain_s
        self._promises.ran(
            attempt,
            caller=request.header(HEADERS.caller_service) or '',
            wanted=attempt.partition('@')[2],
            left_for_s=left_for_s,
        )

    async def _beat(self, known_as: Address) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            'service': self.service,
            'address': str(known_as),
            'zone': 'a-1',
            'version': 'v1',
            'slots': _SLOTS,
            'state': self._state,
            'warmupLeftMs': 0,
            'seq': self._sequence,
            'born': self._started_ms,
        }
        request = Request(
            method='PUT',
            target=f'/v1/instances/{self.instance}',
            headers=(('host', 'node'),),
            body=msgspec.json.encode(body),
        )
        return await self._is_acknowledged(request)

    async def _is_acknowledged(self, request: Request) -> bool:
        instance = self.instance
        try:
            response = await asyncio.wait_for(self._node.exchange(request), 1)
        except (HttpIoError, TimeoutError):
            return False
        return response.status == 200 and instance == self.instance
