"""Followers of the store, by their purpose."""

import random
from collections.abc import Callable

from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.counting_store import CountingStore
from fescueknot.objectapi.follower import Follower, FollowerSettings
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.store_subscribers import (
    ConfigurationSubscriber,
    DirectorySubscriber,
)

_STALE_READS = FollowerSettings(stale=True)
_FRESH_READS = FollowerSettings()
# The end of a watch is evidence that the store answers and that the routes are
# current, so these watches are shorter than the default.
_READER_ROUTES = FollowerSettings(wait_s=10)
# Many targets may start or stop at once, so changes are gathered. A stale read
# is enough: the nodes beside the targets gossip the entries themselves.
_READER_TARGETS = FollowerSettings(gather_s=0.8, stale=True)


class StoreFollowers:
    """Followers of the store, by their purpose.

    ``initial``: routes and target entries, read once at the start of the node.
    ``discovery``: target entries, read to find the other nodes.
    ``continuous``: routes and target entries, followed by a reader.
    ``fallback``: routes and target entries, read once by a node whose evidence
    of the current routes is too old.
    ``routes_now``: routes, read when they are known to be out of date.
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
        self.discovery = self._follower(targets, 'start', _STALE_READS)
        self.initial = (
            self._follower(routes, 'start', _STALE_READS),
            self.discovery,
        )
        self.continuous = (
            self._routes_follower(routes, 'follow', _READER_ROUTES),
            self._follower(targets, 'follow', _READER_TARGETS),
        )
        self.routes_now = self._routes_follower(
            routes, 'fallback', _FRESH_READS
        )
        self.fallback = (
            self.routes_now,
            self._follower(targets, 'fallback', _STALE_READS),
        )

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

    def _record_evidence(self, sent_s: float) -> None:
        self._evidence.record_read(asked_at_s=sent_s)
