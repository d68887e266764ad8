"""What a node reads from the store, by what it is read for."""

import random
from collections.abc import Callable

from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.counted import CountedStore
from fescueknot.objectapi.follower import Follower, FollowerSettings
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.store_subscribers import (
    ConfigurationSubscriber,
    DirectorySubscriber,
)

_STALE = FollowerSettings(stale=True)
_FRESH = FollowerSettings()
# A watch that ends shows that the store still answers.
_READER_ROUTES = FollowerSettings(wait_s=10)
# Targets come and go in crowds, and their nodes tell of them themselves.
_READER_TARGETS = FollowerSettings(gather_s=0.8, stale=True)


class StoreReadings:
    """Followers of the store.

    ``first`` read what a node starts with, ``discover`` lists the nodes of
    the fleet, ``steady`` are those of a reader, ``fallback`` those of a node
    that nobody brings news, ``routes_now`` reads routes that are known to be
    out of date.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        address: Address,
        routes: ConfigurationSubscriber,
        targets: DirectorySubscriber,
        rng: random.Random,
        count: Callable[[str], None],
        evidence: FreshnessEvidence,
    ) -> None:
        self._store = adapter.object_store(address)
        self._rng = rng
        self._count = count
        self._evidence = evidence
        self.discover = self._of(targets, 'start', _STALE)
        self.first = (self._of(routes, 'start', _STALE), self.discover)
        self.steady = (
            self._of_routes(routes, 'follow', _READER_ROUTES),
            self._of(targets, 'follow', _READER_TARGETS),
        )
        self.routes_now = self._of_routes(routes, 'fallback', _FRESH)
        self.fallback = (
            self.routes_now,
            self._of(targets, 'fallback', _STALE),
        )

    def counted(self, reason: str) -> AsyncObjectStore:
        """Return the store; calls are counted for a reason."""
        return CountedStore(store=self._store, reason=reason, count=self._count)

    def _of(
        self,
        subscriber: ConfigurationSubscriber | DirectorySubscriber,
        reason: str,
        settings: FollowerSettings,
        confirm: Callable[[float], None] | None = None,
    ) -> Follower:
        return Follower(
            store=self.counted(reason),
            kind=subscriber.kind,
            subscriber=subscriber,
            rng=self._rng,
            settings=settings,
            confirm=confirm,
        )

    def _of_routes(
        self,
        routes: ConfigurationSubscriber,
        reason: str,
        settings: FollowerSettings,
    ) -> Follower:
        """Return one whose answers are evidence of the newest routes."""
        return self._of(routes, reason, settings, self._confirm)

    def _confirm(self, asked_s: float) -> None:
        self._evidence.record_read(asked_at_s=asked_s)
