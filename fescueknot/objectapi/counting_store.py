"""Counting the calls to a store by why they are made."""

from collections.abc import Callable

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch


class CountingStore(AsyncObjectStore):
    """A store whose calls are counted for one reason."""

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
        """Return one object as it is now."""
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
        """Wait for changes."""
        self._count(self._reason)
        return await self._store.watch(
            kind, since_revision, timeout_s, stale=stale
        )

    async def put(
        self, key: str, value: str, *, likely_new: bool = False
    ) -> StoredObject:
        """Write an object."""
        self._count(self._reason)
        return await self._store.put(key, value, likely_new=likely_new)

    async def delete(self, key: str) -> None:
        """Remove an object."""
        self._count(self._reason)
        await self._store.delete(key)
