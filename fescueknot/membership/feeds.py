"""Readings of the store, which a reader passes to its gossip task."""

import abc
import itertools

import msgspec

from fescueknot.gossip.documents import Document, Transfer
from fescueknot.membership.errors import FeedCompactedError, FeedError
from fescueknot.objectapi.errors import Compacted, ObjectApiError
from fescueknot.objectapi.messages import Change, StoredObject
from fescueknot.objectapi.store import ObjectStore

PREFIXES = ('roster/', 'rules/')
_MAX_WATCHES = 8


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """Documents read from the store.

    ``asked_at_s`` is the monotonic time before the first call was sent.
    ``is_current`` is true if the transfer ends with a state of the store that
    is not older than ``asked_at_s``.
    """

    asked_at_s: float
    transfer: Transfer
    is_current: bool = True


class Feed(abc.ABC):
    """Source of readings; each method raises ``FeedError`` on failure."""

    @abc.abstractmethod
    def read_changes(self, *, after: int, asked_at_s: float) -> Reading:
        """Wait for changes after the revision ``after`` and return them.

        Raises ``FeedCompactedError`` if the store has compacted them.
        """

    @abc.abstractmethod
    def read_all(self, *, asked_at_s: float) -> Reading:
        """Return a whole copy of the documents."""


class _PrefixChanges(msgspec.Struct, frozen=True, kw_only=True):
    events: list[Change]
    revision: int
    is_complete: bool = True


class StoreFeed(Feed):
    """Readings of the objects below ``prefixes`` in the object API."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        wait_s: float,
        prefixes: tuple[str, ...] = PREFIXES,
    ) -> None:
        self._store = store
        self._wait_s = wait_s / len(prefixes)
        self._prefixes = prefixes

    def read_changes(self, *, after: int, asked_at_s: float) -> Reading:
        """Watch each prefix in turn.

        The reading ends at the lowest revision that a watch reached.
        """
        try:
            batches = [
                self._watch_prefix(prefix, after) for prefix in self._prefixes
            ]
        except Compacted as error:
            raise FeedCompactedError(str(error)) from error
        except ObjectApiError as error:
            raise FeedError(str(error)) from error
        upto = min(batch.revision for batch in batches)
        changes = itertools.chain.from_iterable(
            batch.events for batch in batches
        )
        documents = sorted(
            map(_from_change, changes), key=lambda document: document.revision
        )
        return Reading(
            asked_at_s=asked_at_s,
            transfer=Transfer(
                after=after,
                upto=upto,
                goal=upto,
                documents=tuple(
                    document
                    for document in documents
                    if document.revision <= upto
                ),
            ),
            is_current=all(batch.is_complete for batch in batches),
        )

    def read_all(self, *, asked_at_s: float) -> Reading:
        """List each prefix.

        The reading ends at the lowest revision of the listings.
        """
        try:
            listings = [self._store.list(prefix) for prefix in self._prefixes]
        except ObjectApiError as error:
            raise FeedError(str(error)) from error
        upto = min(listing.revision for listing in listings)
        goal = max(listing.revision for listing in listings)
        stored = itertools.chain.from_iterable(
            listing.objects for listing in listings
        )
        documents = sorted(
            map(_from_object, stored), key=lambda document: document.revision
        )
        return Reading(
            asked_at_s=asked_at_s,
            transfer=Transfer(
                after=0,
                upto=upto,
                goal=goal,
                documents=tuple(documents),
                is_whole=True,
                floor=upto,
            ),
        )

    def _watch_prefix(self, prefix: str, after: int) -> _PrefixChanges:
        """Watch until a batch is empty, since a batch may be cut short."""
        events: list[Change] = []
        wait_s = self._wait_s
        revision = after
        for _ in range(_MAX_WATCHES):
            batch = self._store.watch(prefix, revision, wait_s)
            revision = batch.revision
            if not batch.events:
                return _PrefixChanges(events=events, revision=revision)
            events.extend(batch.events)
            wait_s = 0
        return _PrefixChanges(
            events=events, revision=revision, is_complete=False
        )


def _from_change(change: Change) -> Document:
    content = None if change.deleted else change.value
    return Document(key=change.key, revision=change.revision, content=content)


def _from_object(stored: StoredObject) -> Document:
    return Document(
        key=stored.key, revision=stored.revision, content=stored.value
    )
