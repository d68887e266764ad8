"""Copies of all targets' entries, for a node that is far behind."""

import asyncio
from collections.abc import Callable

from fescueknot.gossip.replica import Replica
from fescueknot.relay.peers import PeerNodes
from fescueknot.targets.directory import TargetDirectory

# Copies are long: whoever didn't get one waits before it asks again.
_PAUSE_S = 1.0


class TargetCopies:
    """Fetches a copy from the peer that the replica names.

    ``changed`` is called after each copy that was taken in.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        directory: TargetDirectory,
        peers: PeerNodes,
        changed: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._peers = peers
        self._changed = changed
        self._needed = asyncio.Event()

    def look(self) -> None:
        """Go on if a copy is needed."""
        if self._replica.copy_source is not None:
            self._needed.set()

    async def run(self) -> None:
        """Fetch whenever a copy is needed; runs for ever."""
        while True:
            await self._needed.wait()
            self._needed.clear()
            await self._fetch()
            await asyncio.sleep(_PAUSE_S)

    async def _fetch(self) -> None:
        name = self._replica.copy_source or ''
        self._replica.copy_source = None
        entry = self._directory.entry_of(name)
        if entry is None:
            return
        copy = await self._peers.targets_after(
            entry.node, self._replica.log.cursor
        )
        if copy is not None:
            now_s = asyncio.get_running_loop().time()
            self._replica.apply_transfer(copy, name, now_s)
            self._changed()
