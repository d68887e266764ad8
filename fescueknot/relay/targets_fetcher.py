"""Fetches target entries from a peer when gossip can't transfer them.

Gossip datagrams are too small for the entries that a node lacks when it is
far behind.
"""

import asyncio
from collections.abc import Callable

from fescueknot.clock import elapsed_s
from fescueknot.gossip.replica import Replica
from fescueknot.relay.peers import PeerNodes
from fescueknot.targets.directory import TargetDirectory

# Transfers are large, so a node waits before it requests another one.
_FETCH_PAUSE_S = 1.0


class TargetsFetcher:
    """Fetches missing target entries from the peer named by the replica.

    ``on_change`` is called after each transfer that was applied.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        directory: TargetDirectory,
        peers: PeerNodes,
        on_change: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._peers = peers
        self._on_change = on_change
        self._needed = asyncio.Event()

    def check(self) -> None:
        """Request a fetch if the replica needs one."""
        if self._replica.copy_source is not None:
            self._needed.set()

    async def run(self) -> None:
        """Fetch whenever the replica needs it, until cancelled."""
        while True:
            await self._needed.wait()
            self._needed.clear()
            await self._fetch()
            await asyncio.sleep(_FETCH_PAUSE_S)

    async def _fetch(self) -> None:
        name = self._replica.copy_source or ''
        self._replica.copy_source = None
        entry = self._directory.entry_of(name)
        if entry is None:
            return
        transfer = await self._peers.targets_after(
            entry.node, self._replica.log.cursor
        )
        if transfer is not None:
            now_s = elapsed_s()
            self._replica.apply_transfer(transfer, name, now_s)
            self._on_change()
