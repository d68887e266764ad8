"""The stand-in store, behind a gate of its own for each host."""

import random

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.httpio.server import Server
from tools.site_rig.scene import Host
from tools.standin.platform_store import PlatformStoreStandin

_PORT = 8309


class StoreGate(Handler):
    """Passes the calls of one host to the store."""

    def __init__(self, *, store: PlatformStoreStandin) -> None:
        self._store = store

    def limits(self) -> Limits:
        """Return the limits of the store."""
        return self._store.limits()

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer one call."""
        return await self._store.answer(request, peer)


class StoreGates:
    """The store and its gates by the address of the host."""

    def __init__(self, *, rng: random.Random) -> None:
        self.store = PlatformStoreStandin()
        self._rng = rng
        self._gates: dict[str, StoreGate] = {}
        self._servers: list[Server] = []

    async def open(self, host: Host) -> str:
        """Return the address of the store for a host."""
        if host.ip not in self._gates:
            gate = StoreGate(store=self.store)
            server = Server(handler=gate, report_error=_report)
            await server.listen(host.ip, _PORT)
            self._gates[host.ip] = gate
            self._servers.append(server)
        return f'{host.ip}:{_PORT}'

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.stop_listening()


def _report(error: BaseException) -> None:
    print(f'the store failed: {error!r}', flush=True)
