"""The stand-in store, behind a gate of its own for each host."""

import asyncio
import itertools
import random

import msgspec

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.httpio.server import Server
from tools.site_rig.scene import Host
from tools.standin.platform_store import PlatformStoreStandin

_PORT = 8309
_READ = 'GET'
_BUSY_STATUSES = (503, 429)
_WATCH = 'watch='
_POLL_S = 0.02
_WRITES = itertools.count(1)


class GateState(msgspec.Struct, kw_only=True):
    """What a gate does to calls; nothing at first.

    A mute one does what it is asked to and answers nothing.

    ``lost_share`` of the writes are done, up to ``late_s`` later, and not
    answered. While it is deaf, watches hear nothing; they are cut after it.
    """

    is_silent: bool = False
    is_busy: bool = False
    is_resetting: bool = False
    delay_s: float = 0
    lost_share: float = 0
    late_s: tuple[float, float] = (0, 0)
    is_deaf: bool = False
    is_mute: bool = False


class StoreGate(Handler):
    """Passes the calls of one host to the store, as its state says."""

    def __init__(self, *, store: Handler, rng: random.Random) -> None:
        self.state = GateState()
        self._store = store
        self._rng = rng
        # Number of its last write among those of all gates.
        self.last_write = 0
        self._late: set[asyncio.Task[None]] = set()

    def limits(self) -> Limits:
        """Return the limits of the store."""
        return self._store.limits()

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer one call, or end its connection."""
        state = self.state
        if state.is_silent:
            await asyncio.Event().wait()
        if state.is_resetting:
            return None
        if state.is_busy:
            return Response(status=self._rng.choice(_BUSY_STATUSES))
        await asyncio.sleep(state.delay_s)
        if request.method != _READ and self._rng.random() < state.lost_share:
            return await self._lose(request, peer)
        return await self._pass_on(request, peer)

    async def _pass_on(self, request: Request, peer: str) -> Response | None:
        answer = await self._store.answer(request, peer)
        if request.method != _READ:
            self.last_write = next(_WRITES)
        # Calls that waited when it fell silent get no answer either.
        if self.state.is_silent or self.state.is_mute:
            await asyncio.Event().wait()
        if _WATCH in request.target and self.state.is_deaf:
            await self._hear_again()
            return None
        return None if self.state.is_resetting else answer

    async def _hear_again(self) -> None:
        while self.state.is_deaf:
            await asyncio.sleep(_POLL_S)

    async def _lose(self, request: Request, peer: str) -> None:
        late = asyncio.ensure_future(
            self._do_late(request, peer, self._rng.uniform(*self.state.late_s))
        )
        self._late.add(late)
        late.add_done_callback(self._late.discard)

    async def _do_late(
        self, request: Request, peer: str, late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        await self._store.answer(request, peer)


class StoreGates:
    """The store and its gates by the address of the host."""

    def __init__(self, *, rng: random.Random) -> None:
        self.store = PlatformStoreStandin()
        self._rng = rng
        self._gates: dict[str, StoreGate] = {}
        self._servers: dict[str, Server] = {}

    async def open(self, host: Host) -> str:
        """Return the address of the store for a host."""
        if host.ip not in self._servers:
            server = Server(handler=self.gate(host), report_error=_report)
            await server.listen(host.ip, _PORT)
            self._servers[host.ip] = server
        return f'{host.ip}:{_PORT}'

    def gate(self, host: Host) -> StoreGate:
        """Return the gate of a host."""
        if host.ip not in self._gates:
            gate = StoreGate(store=self.store, rng=self._rng)
            self._gates[host.ip] = gate
        return self._gates[host.ip]

    def last_writer(self) -> StoreGate:
        """Return the gate of the host that wrote last."""
        return max(self._gates.values(), key=lambda gate: gate.last_write)

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers.values():
            server.stop_listening()


def _report(error: BaseException) -> None:
    print(f'the store failed: {error!r}', flush=True)
