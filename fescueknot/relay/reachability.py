"""Nodes that take no connections, asked again in the background.

Requests of callers are not spent on finding out whether a node is back.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from fescueknot.identity import Address


class ProbeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Pauses between two probes of one node."""

    first_s: float = 0.25
    longest_s: float = 2


class Reachability:
    """Remembers lost nodes until a probe succeeds."""

    def __init__(
        self,
        *,
        probe: Callable[[Address], Awaitable[bool]],
        on_change: Callable[[Address, bool], None],
        settings: ProbeSettings | None = None,
    ) -> None:
        self._probe = probe
        self._changed = on_change
        self._settings = settings or ProbeSettings()
        self._lost: dict[Address, asyncio.Task[None]] = {}

    def is_unreachable(self, node: Address) -> bool:
        """Tell whether a node took no connection of late."""
        return node in self._lost

    def mark_unreachable(self, node: Address) -> None:
        """Take note of a connection that could not be opened."""
        if node not in self._lost:
            self._changed(node, False)
            self._lost[node] = asyncio.ensure_future(self._watch(node))

    def retain(self, known: frozenset[Address]) -> None:
        """Forget nodes that nobody lists any more."""
        for node in tuple(self._lost):
            if node not in known:
                self._lost.pop(node).cancel()

    async def _watch(self, node: Address) -> None:
        pause_s = self._settings.first_s
        while True:
            await asyncio.sleep(pause_s)
            if await self._probe(node):
                break
            pause_s = min(self._settings.longest_s, pause_s * 2)
        self._lost.pop(node, None)
        self._changed(node, True)
