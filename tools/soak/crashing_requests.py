"""Requests that crash each target that runs them, and the bound on them."""

import asyncio
import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.soak.world import World

# Later than this after the third crash, few arrivals are tolerated.
_STABLE_S = 3.0
_CRASHES = 3
_MAX_LATER_ARRIVALS = 3
_BODY_BITS = 64
_DURATION_S = (10.0, 14.0)
_MAX_PAUSE_S = 0.3


class _Record:
    """Crashes and late arrivals of one request."""

    def __init__(self) -> None:
        self.crashes = 0
        self.bound_from_s = math.inf
        self.late = 0


class CrashingRequests:
    """The crashing requests of a run, by body."""

    def __init__(self) -> None:
        self._by_body: dict[bytes, _Record] = {}
        self._excused_at_s: dict[str, float] = {}

    def add(self, rng: random.Random) -> bytes:
        """Return the body of a new crashing request."""
        body = f'crashing {rng.getrandbits(_BODY_BITS):x}'.encode()
        self._by_body[body] = _Record()
        return body

    def is_crashing(self, body: bytes) -> bool:
        """Return whether a request with this body crashes its target."""
        return body in self._by_body

    def crashed(self, body: bytes, now_s: float) -> None:
        """Record that a target has crashed under a request."""
        record = self._by_body[body]
        record.crashes += 1
        if record.crashes == _CRASHES:
            record.bound_from_s = now_s + _STABLE_S

    def excuse(self, node: str, now_s: float) -> None:
        """Record that a node was killed, stopped or paused."""
        self._excused_at_s[node] = now_s

    def breach(self, body: bytes, nodes: tuple[str, ...], now_s: float) -> str:
        """Return how an arrival breaks the bound, empty if it does not.

        ``nodes`` are those that have passed the request on.
        """
        record = self._by_body.get(body)
        if record is None or now_s <= record.bound_from_s:
            return ''
        if any(self._is_excused(node, now_s) for node in nodes):
            return ''
        record.late += 1
        if record.late <= _MAX_LATER_ARRIVALS:
            return ''
        return f'it had crashed {record.crashes} targets, {record.late} late'

    def _is_excused(self, node: str, now_s: float) -> bool:
        excused_at_s = self._excused_at_s.get(node, -math.inf)
        return now_s - excused_at_s < _STABLE_S


async def crashing_request(world: 'World', index: int) -> None:
    """Send a request that crashes targets again and again, to any node.

    All come from nodes of one service and ask for the same.
    """
    loop = asyncio.get_running_loop()
    body = world.promises.crashing.add(world.rng)
    idempotent = world.rng.choice((True, False))
    service = world.nodes[index].service
    nodes = [node for node in world.nodes if node.service == service]
    end_s = loop.time() + world.rng.uniform(*_DURATION_S)
    while loop.time() < end_s:
        caller = world.callers.of_account(world.rng.choice(nodes))
        await caller.send(body, idempotent=idempotent)
        await asyncio.sleep(world.rng.uniform(0, _MAX_PAUSE_S))
