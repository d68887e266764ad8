"""An object store in the memory of one process.

Tests use it directly; the stand-in server offers it over HTTP.
"""

import threading

from fescueknot.objectapi.errors import Conflict, NotFound, TooLarge
from fescueknot.objectapi.history import ChangeHistory
from fescueknot.objectapi.messages import (
    MAX_VALUE_BYTES,
    Listing,
    StoredObject,
    WatchBatch,
)
from fescueknot.objectapi.store import ObjectStore

_DEFAULT_HISTORY_LIMIT = 100_000


class MemoryStore(ObjectStore):
    """Objects in a dictionary, guarded by one condition variable."""

    def __init__(self, *, history_limit: int = _DEFAULT_HISTORY_LIMIT) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, StoredObject] = {}
        self._history = ChangeHistory(limit=history_limit)

    def get(self, key: str) -> StoredObject:
        """Return the object; raise ``NotFound`` when there is none."""
        with self._changed:
            return self._current(key)

    def list(self, prefix: str) -> Listing:
        """Return all objects whose key starts with ``prefix``."""
        with self._changed:
            keys = sorted(
                key for key in self._objects if key.startswith(prefix)
            )
            found = tuple(self._objects[key] for key in keys)
            return Listing(objects=found, revision=self._history.revision)

    def create(self, key: str, value: str) -> StoredObject:
        """Write a new object; raise ``Conflict`` when the key exists."""
        _check_size(key, value)
        with self._changed:
            if key in self._objects:
                raise Conflict(f'{key} exists already')
            return self._write(key, value)

    def update(self, key: str, value: str, version: int) -> StoredObject:
        """Replace the object when it still has ``version``."""
        _check_size(key, value)
        with self._changed:
            self._check_version(key, version)
            return self._write(key, value)

    def delete(self, key: str, version: int) -> None:
        """Remove the object when it still has ``version``."""
        with self._changed:
            self._check_version(key, version)
            self._objects.pop(key)
            self._history.record(key, '', deleted=True)
            self._changed.notify_all()

    def watch(
        self, prefix: str, since_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Wait up to ``timeout_s`` for changes after ``since_revision``."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._history.since(prefix, since_revision).events,
                timeout=timeout_s,
            )
            return self._history.since(prefix, since_revision)

    def compact(self) -> None:
        """Drop all changes; watches from older revisions must list again."""
        with self._changed:
            self._history.compact()
            self._changed.notify_all()

    def _current(self, key: str) -> StoredObject:
        try:
            return self._objects[key]
        except KeyError:
            raise NotFound(f'{key} does not exist') from None

    def _check_version(self, key: str, version: int) -> None:
        current = self._current(key)
        if current.version != version:
            raise Conflict(
                f'{key} has version {current.version}, not {version}'
            )

    def _write(self, key: str, value: str) -> StoredObject:
        change = self._history.record(key, value, deleted=False)
        stored = StoredObject(
            key=key,
            value=value,
            version=change.version,
            revision=change.revision,
        )
        self._objects[key] = stored
        self._changed.notify_all()
        return stored


def _check_size(key: str, value: str) -> None:
    size_bytes = len(value.encode())
    if size_bytes > MAX_VALUE_BYTES:
        raise TooLarge(f'{key} has {size_bytes} bytes')
