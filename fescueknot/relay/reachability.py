"""Nodes that accept no connections, probed in the background.

Probes find out whether a node is reachable again, so that no caller's request
is risked on it.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from fescueknot.identity import Address


class ProbeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Pauses between probes of a node; each is twice the one before."""

    min_pause_s: float = 0.25
    max_pause_s: float = 2


class Reachability:
    """Keeps track of unreachable nodes until a probe succeeds.

    ``on_change`` is called with the node and whether it is reachable.
    """

    def __init__(
        self,
        *,
        probe: Callable[[Address], Awaitable[bool]],
        on_change: Callable[[Address, bool], None],
        settings: ProbeSettings | None = None,
    ) -> None:
        self._probe = probe
        self._on_change = on_change
        self._settings = settings or ProbeSettings()
        self._unreachable: dict[Address, asyncio.Task[None]] = {}

    def is_unreachable(self, node: Address) -> bool:
        """Return whether a node has accepted no connection since a failure."""
        return node in self._unreachable

    def mark_unreachable(self, node: Address) -> None:
        """Record that a connection to a node could not be opened."""
        if node not in self._unreachable:
            self._on_change(node, False)
            self._unreachable[node] = asyncio.ensure_future(
                self._probe_until_reachable(node)
            )

    def retain(self, listed: frozenset[Address]) -> None:
        """Stop probing nodes that the directory no longer lists."""
        for node in tuple(self._unreachable):
            if node not in listed:
                self._unreachable.pop(node).cancel()

    async def _probe_until_reachable(self, node: Address) -> None:
        pause_s = self._settings.min_pause_s
        while True:
            await asyncio.sleep(pause_s)
            if await self._succeeds(node):
                break
            pause_s = min(self._settings.max_pause_s, pause_s * 2)
        self._unreachable.pop(node, None)
        self._on_change(node, True)

    async def _succeeds(self, node: Address) -> bool:
        """Probe once; an unexpected error is logged and counts as a failure."""
        try:
            return await self._probe(node)
        except Exception as error:  # noqa: BLE001
            context = {'message': f'probe of {node}', 'exception': error}
            asyncio.get_running_loop().call_exception_handler(context)
            return False
