"""Interface of an object store on an event loop."""

import abc

from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch


class AsyncObjectStore(abc.ABC):
    """Versioned objects, grouped by kind, with watches.

    Keys are ``kind/name``. The methods raise the same errors as those of
    :class:`~fescueknot.objectapi.store.ObjectStore`.
    """

    @abc.abstractmethod
    async def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind.

        A ``stale`` read is cheaper; its result may be some seconds old.
        """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return the current object, or ``None`` if there is none."""

    @abc.abstractmethod
    async def watch(
        self,
        kind: str,
        since_revision: int,
        timeout_s: float,
        *,
        stale: bool = False,
    ) -> WatchBatch:
        """Wait up to ``timeout_s`` for changes after ``since_revision``.

        Raises ``Compacted`` if the store has dropped some of these changes.
        """

    @abc.abstractmethod
    async def put(
        self, key: str, value: str, *, likely_new: bool = False
    ) -> StoredObject:
        """Create or replace an object.

        ``likely_new`` is true if the object probably does not exist. If the
        guess is right, a single request suffices.
        """

    @abc.abstractmethod
    async def create(self, key: str, value: str) -> StoredObject:
        """Create an object; raise ``Conflict`` if it exists."""

    @abc.abstractmethod
    async def replace(
        self, key: str, value: str, revision: int
    ) -> StoredObject:
        """Replace an object that still has ``revision``.

        Raises ``Conflict`` if it has another one, ``NotFound`` if it is gone.
        """

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Remove an object, if it exists."""
