"""When this node reads the store: at its start, as a reader, or in need."""

import asyncio
import random

from fescueknot.gossip.known_peers import KnownPeers
from fescueknot.gossip.readers import should_read_as_fallback
from fescueknot.gossip.replica import Replica
from fescueknot.relay.observer import Observer
from fescueknot.relay.store_followers import StoreReadings

_LOOK_PERIOD_S = 1.0
# A first listing may be that old; its age counts until readers are heard.
_STALE_READ_S = 4.0
# Looks in a row that must agree before a node starts to follow the store:
# while a fleet starts, each node knows only a part of it.
_STEADY_LOOKS = 3


class StoreReader:
    """Runs the followers that are due."""

    def __init__(
        self,
        *,
        readings: StoreReadings,
        replica: Replica,
        known_peers: KnownPeers,
        gossips: bool,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self._readings = readings
        self._replica = replica
        self._known_peers = known_peers
        self._gossips = gossips
        self._observer = observer
        self._rng = rng
        self._following: list[asyncio.Task[None]] = []
        self._looks = 0

    async def start(self) -> None:
        """Read what a node starts with."""
        asked_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(one.read() for one in self._readings.first))
        self._replica.evidence.record_read(asked_at_s=asked_s - _STALE_READ_S)

    async def run(self) -> None:
        """Read as it becomes due; runs for ever."""
        if not self._gossips:
            self._follow()
        while True:
            pause_s = _LOOK_PERIOD_S * self._rng.uniform(0.7, 1.3)
            await asyncio.sleep(pause_s)
            if self._gossips:
                await self._look(pause_s)

    async def _look(self, elapsed_s: float) -> None:
        if self._known_peers.is_reader():
            self._looks += 1
        else:
            self._looks = 0
            self._stop()
        if self._looks >= _STEADY_LOOKS:
            self._follow()
        elif not self._known_peers.has_others():
            await self._readings.discover.read()
        elif self._is_in_need(elapsed_s):
            self._observer.note('store.fallback', age_s=self._age_s())
            await asyncio.gather(
                *(one.read() for one in self._readings.fallback)
            )

    def _is_in_need(self, elapsed_s: float) -> bool:
        return should_read_as_fallback(
            age_s=self._age_s(),
            elapsed_s=elapsed_s,
            nodes=len(self._known_peers),
            rng=self._rng,
        )

    def _age_s(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return self._replica.evidence.age_s(now_s)

    def _follow(self) -> None:
        if not self._following:
            self._observer.note('store.following', reader=True)
            self._following = [
                asyncio.ensure_future(one.run())
                for one in self._readings.steady
            ]

    def _stop(self) -> None:
        if self._following:
            self._observer.note('store.following', reader=False)
        for task in self._following:
            task.cancel()
        self._following = []
