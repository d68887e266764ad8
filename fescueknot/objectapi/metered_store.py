"""Counts the calls to a store and refuses calls above its rate limits."""

from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch
from fescueknot.objectapi.meter import CallMeter
from fescueknot.objectapi.store import ObjectStore


class MeteredStore(ObjectStore):
    """Wraps a store; raises ``RateLimited`` above the rate limits."""

    def __init__(self, *, inner: ObjectStore, meter: CallMeter) -> None:
        self._inner = inner
        self._meter = meter

    def get(self, key: str) -> StoredObject:
        """Count a read and pass it on."""
        self._meter.count_read()
        return self._inner.get(key)

    def list(self, prefix: str) -> Listing:
        """Count a read and pass it on."""
        self._meter.count_read()
        return self._inner.list(prefix)

    def create(self, key: str, value: str) -> StoredObject:
        """Count a write and pass it on."""
        self._meter.count_write()
        return self._inner.create(key, value)

    def update(self, key: str, value: str, version: int) -> StoredObject:
        """Count a write and pass it on."""
        self._meter.count_write()
        return self._inner.update(key, value, version)

    def delete(self, key: str, version: int) -> None:
        """Count a write and pass it on."""
        self._meter.count_write()
        self._inner.delete(key, version)

    def watch(
        self, prefix: str, since_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Count one watch, however long it waits, and pass it on."""
        with self._meter.waiting_watch():
            return self._inner.watch(prefix, since_revision, timeout_s)
