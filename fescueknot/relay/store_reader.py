"""Decides when this node reads the store."""

import asyncio
import contextlib
import random

from fescueknot.gossip.fallback import FallbackSchedule
from fescueknot.gossip.known_peers import KnownPeers
from fescueknot.objectapi.follower import Follower
from fescueknot.relay.observer import Observer
from fescueknot.relay.routes_status import RoutesStatus
from fescueknot.relay.store_followers import StoreFollowers
from fescueknot.relay.supervisor import Supervisor

# A node follows the store once it was a reader for this long: while a fleet
# starts, each node knows only some of the other nodes.
_MIN_READER_S = 1.5
# A read of all entries is long; the pause before the next one grows with the
# number of entries.
_PAUSE_PER_ENTRY_S = 0.005
_DISCOVERY_PAUSE_S = 1.0


class StoreReader:
    """Runs the followers of the store that are due.

    A node follows the store if it is a reader of its failure domain or doesn't
    gossip. Every node reads the routes whenever its evidence that they are
    current is not fresh, or a newer version is known that no peer hands over,
    and reads the entries then too and while it knows no other node.
    """

    def __init__(
        self,
        *,
        followers: StoreFollowers,
        known_peers: KnownPeers,
        gossips: bool,
        check_interval_s: float,
        status: RoutesStatus,
        supervisor: Supervisor,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self._followers = followers
        self._known_peers = known_peers
        self._gossips = gossips
        self._check_interval_s = check_interval_s
        self._status = status
        self._supervisor = supervisor
        self._observer = observer
        self._rng = rng
        self._fallback = FallbackSchedule(rng=rng)
        self._read_requested = asyncio.Event()
        self._following: list[asyncio.Task[None]] = []
        self._reader_since_s: float | None = None
        self._next_targets_read_s = float(0)

    async def start(self) -> None:
        """Read the entries, and try to read the routes.

        The read of the routes is fresh: a stale one may show a version older
        than the one in force here before the node was started again.
        """
        await asyncio.gather(
            self._followers.discovery.read(),
            self._followers.routes_now.try_read(),
        )

    def request_read(self) -> None:
        """Have the routes read, as a newer version than that here is known."""
        self._read_requested.set()

    async def run(self) -> None:
        """Read the store whenever it is due, until cancelled."""
        if not self._gossips:
            self._start_following()
        while True:
            await self._pause()
            self._update_following()
            await self._read_if_due()

    async def _pause(self) -> None:
        """Wait for the next check, or until a read is requested."""
        pause_s = self._check_interval_s * self._rng.uniform(0.7, 1.3)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._read_requested.wait(), pause_s)

    def _update_following(self) -> None:
        if not self._gossips:
            return
        if not self._known_peers.is_reader():
            self._reader_since_s = None
            self._stop_following()
            return
        now_s = asyncio.get_running_loop().time()
        if self._reader_since_s is None:
            self._reader_since_s = now_s
        if now_s - self._reader_since_s >= _MIN_READER_S:
            self._start_following()

    async def _read_if_due(self) -> None:
        is_requested = self._read_requested.is_set()
        self._read_requested.clear()
        if self._status.is_confirmed():
            self._fallback.reset()
        elif self._is_fallback_due():
            is_requested = True
        if is_requested:
            await self._read()
        elif not self._known_peers.has_others():
            await self._read_targets(
                _DISCOVERY_PAUSE_S, self._followers.discovery
            )

    def _is_fallback_due(self) -> bool:
        return self._fallback.is_due(
            now_s=asyncio.get_running_loop().time(),
            nodes=len(self._known_peers),
            is_alone=self._known_peers.is_cut_off(),
        )

    async def _read(self) -> None:
        """Read the routes, and the entries unless they were read just now."""
        self._observer.note('store.fallback', age_s=self._status.age_s())
        nodes = len(self._known_peers)
        succeeded, _ = await asyncio.gather(
            self._followers.routes_now.try_read(),
            self._read_targets(
                nodes * _PAUSE_PER_ENTRY_S, self._followers.targets_now
            ),
        )
        now_s = asyncio.get_running_loop().time()
        if succeeded:
            self._fallback.record_success(now_s=now_s, nodes=nodes)
        else:
            self._fallback.record_failure(now_s=now_s, nodes=nodes)

    async def _read_targets(self, pause_s: float, follower: Follower) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_targets_read_s:
            return
        self._next_targets_read_s = now_s + pause_s
        await follower.try_read()

    def _start_following(self) -> None:
        if self._following:
            return
        self._observer.note('store.following', reader=True)
        self._status.is_following = True
        self._following = [
            self._supervisor.start(f'follower of {one.kind}', one.run)
            for one in self._followers.continuous
        ]

    def _stop_following(self) -> None:
        if self._following:
            self._observer.note('store.following', reader=False)
        self._status.is_following = False
        for task in self._following:
            task.cancel()
        self._following = []
