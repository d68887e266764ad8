"""The recent changes of a store in the order of their revisions."""

import collections

from fescueknot.objectapi.errors import Compacted
from fescueknot.objectapi.messages import Change, WatchBatch

_MAX_BATCH_EVENTS = 500


class ChangeHistory:
    """Assigns revisions to changes and keeps the latest ``limit`` changes.

    The version of a key does not restart after a deletion. Otherwise an
    update based on the deleted object could overwrite a new object.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._changes: collections.deque[Change] = collections.deque()
        self._versions: dict[str, int] = {}
        self._compacted_revision = 0
        self.revision = 0

    def record(self, key: str, value: str, *, deleted: bool) -> Change:
        """Add a change; return it with its version and revision."""
        self.revision += 1
        self._versions[key] = self._versions.get(key, 0) + 1
        change = Change(
            key=key,
            value=value,
            version=self._versions[key],
            revision=self.revision,
            deleted=deleted,
        )
        self._changes.append(change)
        if len(self._changes) > self._limit:
            self._compacted_revision = self._changes.popleft().revision
        return change

    def compact(self) -> None:
        """Drop all changes."""
        self._changes.clear()
        self._compacted_revision = self.revision

    def since(self, prefix: str, since_revision: int) -> WatchBatch:
        """Return changes after ``since_revision``; raise ``Compacted``."""
        if since_revision < self._compacted_revision:
            raise Compacted(
                f'revision {since_revision} is older than '
                f'{self._compacted_revision}'
            )
        events = []
        for change in reversed(self._changes):
            if change.revision <= since_revision:
                break
            if change.key.startswith(prefix):
                events.append(change)
        events.reverse()
        return _batch(events, max(self.revision, since_revision))


def _batch(events: list[Change], latest_revision: int) -> WatchBatch:
    if len(events) <= _MAX_BATCH_EVENTS:
        return WatchBatch(events=tuple(events), revision=latest_revision)
    first = tuple(events[:_MAX_BATCH_EVENTS])
    return WatchBatch(events=first, revision=first[-1].revision)
