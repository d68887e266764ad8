"""Followers of the store, by their purpose."""

import random
from collections.abc import Callable

from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.counting_store import CountingStore
from fescueknot.objectapi.follower import Follower, FollowerSettings
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.store_subscribers import (
    ConfigurationSubscriber,
    DirectorySubscriber,
)

_STALE_READS = FollowerSettings(stale=True)
_FRESH_READS = FollowerSettings()
_GATHER_ROUTES_S = 0.1
# Many targets may start or stop at once, so changes are gathered. A stale read
# is enough: the nodes beside the targets gossip the entries themselves.
_READER_TARGETS = FollowerSettings(gather_s=0.8, stale=True)


class StoreFollowers:
    """Followers of the store, by their purpose.

    ``discovery``: target entries, read to find the other nodes.
    ``continuous``: routes and target entries, followed by a reader. A watch of
    the routes waits ``watch_s``; its end is evidence that they are current.
    ``routes_now``, ``targets_now``: routes and target entries, read by a node
    that isn't told of changes, or not in time.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        address: Address,
        routes: ConfigurationSubscriber,
        targets: DirectorySubscriber,
        watch_s: float,
        rng: random.Random,
        count: Callable[[str], None],
        evidence: FreshnessEvidence,
        era: StoreEra,
    ) -> None:
        self._store = adapter.object_store(address, era)
        self._rng = rng
        self._count = count
        self._evidence = evidence
        self._routes = routes
        self.discovery = self._follower(targets, 'start', _STALE_READS)
        self.continuous = (
            self._routes_follower(
                routes,
                'follow',
                FollowerSettings(wait_s=watch_s, gather_s=_GATHER_ROUTES_S),
            ),
            self._follower(targets, 'follow', _READER_TARGETS),
        )
        self.routes_now = self._routes_follower(
            routes, 'fallback', _FRESH_READS
        )
        self.targets_now = self._follower(targets, 'fallback', _STALE_READS)

    def counted_store(self, reason: str) -> AsyncObjectStore:
        """Return a client of the store that counts its calls by ``reason``."""
        return CountingStore(
            store=self._store, reason=reason, count=self._count
        )

    def _follower(
        self,
        subscriber: ConfigurationSubscriber | DirectorySubscriber,
        reason: str,
        settings: FollowerSettings,
        on_fresh_read: Callable[[float], None] | None = None,
    ) -> Follower:
        return Follower(
            store=self.counted_store(reason),
            kind=subscriber.kind,
            subscriber=subscriber,
            rng=self._rng,
            settings=settings,
            on_fresh_read=on_fresh_read,
        )

    def _routes_follower(
        self,
        routes: ConfigurationSubscriber,
        reason: str,
        settings: FollowerSettings,
    ) -> Follower:
        """Return a follower whose answers are evidence of current routes."""
        return self._follower(routes, reason, settings, self._record_evidence)

    def _record_evidence(self, current_at_s: float) -> None:
        if self._routes.is_readable:
            self._evidence.record_read(asked_at_s=current_at_s)
