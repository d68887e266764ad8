"""Interface of an object store."""

import abc

from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch


class ObjectStore(abc.ABC):
    """Versioned objects with conditional writes and watches.

    Every method raises ``Unavailable`` or ``RateLimited`` if the call failed
    and nothing took effect. Writes raise ``OutcomeUnknown`` if the response
    was lost. Each call counts as one towards rate limits, a watch too, however
    long it waits. Implementations are thread-safe.
    """

    @abc.abstractmethod
    def get(self, key: str) -> StoredObject:
        """Return the object; raise ``NotFound`` if there is none."""

    @abc.abstractmethod
    def list(self, prefix: str) -> Listing:
        """Return all objects whose key starts with ``prefix``."""

    @abc.abstractmethod
    def create(self, key: str, value: str) -> StoredObject:
        """Write a new object.

        Raises ``Conflict`` if the key exists and ``TooLarge`` for a value
        above ``MAX_VALUE_BYTES``.
        """

    @abc.abstractmethod
    def update(self, key: str, value: str, version: int) -> StoredObject:
        """Replace the object if its version is still ``version``.

        Raises ``Conflict`` for another version, ``NotFound`` if there is no
        object, and ``TooLarge`` for a value above ``MAX_VALUE_BYTES``.
        """

    @abc.abstractmethod
    def delete(self, key: str, version: int) -> None:
        """Remove the object if its version is still ``version``.

        Raises ``Conflict`` for another version and ``NotFound`` if there is no
        object.
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, since_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Wait up to ``timeout_s`` for changes after ``since_revision``.

        Raises ``Compacted`` if the store has dropped some of these changes.
        """
