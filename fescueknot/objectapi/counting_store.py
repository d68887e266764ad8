"""Counts the calls to a store by their reason."""

from collections.abc import Callable

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch


class CountingStore(AsyncObjectStore):
    """Wraps a store and passes ``reason`` to ``count`` at each call."""

    def __init__(
        self,
        *,
        store: AsyncObjectStore,
        reason: str,
        count: Callable[[str], None],
    ) -> None:
        self._store = store
        self._reason = reason
        self._count = count

    async def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        self._count(self._reason)
        return await self._store.list(kind, stale=stale)

    async def get(self, key: str) -> StoredObject | None:
        """Return the current object, or ``None`` if there is none."""
        self._count(self._reason)
        return await self._store.get(key)

    async def watch(
        self,
        kind: str,
        since_revision: int,
        timeout_s: float,
        *,
        stale: bool = False,
    ) -> WatchBatch:
        """Wait for changes after ``since_revision``."""
        self._count(self._reason)
        return await self._store.watch(
            kind, since_revision, timeout_s, stale=stale
        )

    async def put(
        self, key: str, value: str, *, likely_new: bool = False
    ) -> StoredObject:
        """Create or replace an object."""
        self._count(self._reason)
        return await self._store.put(key, value, likely_new=likely_new)

    async def create(self, key: str, value: str) -> StoredObject:
        """Create an object."""
        self._count(self._reason)
        return await self._store.create(key, value)

    async def replace(
        self, key: str, value: str, revision: int
    ) -> StoredObject:
        """Replace an object that still has ``revision``."""
        self._count(self._reason)
        return await self._store.replace(key, value, revision)

    async def delete(self, key: str) -> None:
        """Remove an object, if it exists."""
        self._count(self._reason)
        await self._store.delete(key)
