"""Decides when this node reads the store."""

import asyncio
import random

from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.gossip.known_peers import KnownPeers
from fescueknot.gossip.readers import should_read_as_fallback
from fescueknot.relay.observer import Observer
from fescueknot.relay.routes_status import RoutesStatus
from fescueknot.relay.store_followers import StoreFollowers
from fescueknot.relay.supervisor import Supervisor

_CHECK_INTERVAL_S = 1.0
# The first listing is a stale read and may be this old. The evidence from it is
# dated back by as much; a peer's evidence replaces it once it arrives.
_MAX_STALE_READ_AGE_S = 4.0
# Checks in a row that must find this node to be a reader before it follows the
# store: while a fleet starts, each node knows only some of the other nodes.
_MIN_READER_CHECKS = 3


class StoreReader:
    """Runs the followers of the store that are due.

    A node reads the store at its start. Later it follows the store if it is a
    reader of its failure domain or doesn't gossip; another node reads only to
    discover peers while it knows none, or if its evidence is too old.
    """

    def __init__(
        self,
        *,
        followers: StoreFollowers,
        evidence: FreshnessEvidence,
        known_peers: KnownPeers,
        gossips: bool,
        status: RoutesStatus,
        supervisor: Supervisor,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self._status = status
        self._supervisor = supervisor
        self._followers = followers
        self._evidence = evidence
        self._known_peers = known_peers
        self._gossips = gossips
        self._observer = observer
        self._rng = rng
        self._following: list[asyncio.Task[None]] = []
        self._reader_checks = 0

    async def start(self) -> None:
        """Read routes and target entries once."""
        sent_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(one.read() for one in self._followers.initial))
        self._evidence.record_read(asked_at_s=sent_s - _MAX_STALE_READ_AGE_S)

    async def run(self) -> None:
        """Read the store whenever it is due, until cancelled."""
        if not self._gossips:
            self._start_following()
        while True:
            pause_s = _CHECK_INTERVAL_S * self._rng.uniform(0.7, 1.3)
            await asyncio.sleep(pause_s)
            if self._gossips:
                await self._check(pause_s)

    async def _check(self, elapsed_s: float) -> None:
        self._status.is_confirmed()
        if self._known_peers.is_reader():
            self._reader_checks += 1
        else:
            self._reader_checks = 0
            self._stop_following()
        if self._reader_checks >= _MIN_READER_CHECKS:
            self._start_following()
        elif not self._known_peers.has_others():
            await self._followers.discovery.read()
        elif self._needs_fallback(elapsed_s):
            self._observer.note('store.fallback', age_s=self._status.age_s())
            await asyncio.gather(
                *(one.read() for one in self._followers.fallback)
            )

    def _needs_fallback(self, elapsed_s: float) -> bool:
        return should_read_as_fallback(
            age_s=self._status.age_s(),
            elapsed_s=elapsed_s,
            nodes=len(self._known_peers),
            rng=self._rng,
        )

    def _start_following(self) -> None:
        if not self._following:
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
