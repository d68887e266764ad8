"""Membership state published by the gossip task for other threads.

The gossip task replaces whole values; other threads read them without locks.
"""

import itertools
import logging
import math
import queue

import msgspec

from fescueknot.gossip.documents import Document
from fescueknot.gossip.evidence import StoreEvidence
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.errors import MembershipError
from fescueknot.membership.readers import ReadMode
from fescueknot.membership.rosters import (
    BUCKET_COUNT,
    PREFIX,
    RosterBucket,
    bucket_key,
    decode_bucket,
)
from fescueknot.roster import Roster

_EMPTY = RosterBucket()
_log = logging.getLogger('fescueknot.gossip')


class MembershipStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the node as of one tick.

    ``held`` is the revision of the store that the local copy holds;
    ``current_at_s`` is the monotonic time at which that copy is known, by its
    evidence, to have been current. ``cursor`` is the revision after which a
    reader continues.
    """

    own: Announcement
    read_mode: ReadMode = ReadMode.NONE
    cursor: int = 0
    held: int = 0
    current_at_s: float = -math.inf
    present_count: int = 0
    is_superseded: bool = False


class PublishedMembership:
    """Announcements, documents and evidence, safe to read from any thread."""

    def __init__(
        self, *, own: Announcement, bucket_count: int = BUCKET_COUNT
    ) -> None:
        self.status = MembershipStatus(own=own)
        self._bucket_count = bucket_count
        self._services: dict[str, tuple[Announcement, ...]] = {}
        self._buckets: dict[str, RosterBucket] = {}
        self._documents: dict[str, Document] = {}
        self._damaged_keys: frozenset[str] = frozenset()
        self._subscribers: tuple[queue.SimpleQueue, ...] = ()

    def instances(self, service: str) -> tuple[Announcement, ...]:
        """Return the instances of a service that are neither lost nor left."""
        return self._services.get(service, ())

    def all_announcements(self) -> tuple[Announcement, ...]:
        """Return the instances of all services, without ended instances."""
        by_service = tuple(self._services.values())
        return tuple(itertools.chain.from_iterable(by_service))

    def evidence(self, now_s: float) -> StoreEvidence:
        """Return the revision and age of the local copy of the store."""
        status = self.status
        return StoreEvidence(
            revision=status.held, age_s=now_s - status.current_at_s
        )

    def document(self, key: str) -> Document | None:
        """Return a document of the store.

        A deleted document has no content; ``None`` means it is not known.
        """
        return self._documents.get(key)

    def roster(self, service: str) -> Roster:
        """Return the last valid roster of a service received by this node."""
        key = bucket_key(service, bucket_count=self._bucket_count)
        return self._buckets.get(key, _EMPTY).find(service)

    def is_damaged(self, service: str) -> bool:
        """Return whether the newest roster of a service can't be decoded.

        :meth:`roster` then returns an older roster than the evidence implies.
        """
        key = bucket_key(service, bucket_count=self._bucket_count)
        return key in self._damaged_keys

    def subscribe(
        self, changes: 'queue.SimpleQueue[tuple[Document, ...]]'
    ) -> None:
        """Add a queue that receives changed documents in revision order."""
        self._subscribers += (changes,)

    def replace_instances(
        self, service: str, instances: tuple[Announcement, ...]
    ) -> None:
        """Replace the instances of a service."""
        if instances:
            self._services[service] = instances
        else:
            self._services.pop(service, None)

    def replace_documents(self, documents: tuple[Document, ...]) -> None:
        """Replace documents and notify the subscribers."""
        for document in documents:
            self._documents[document.key] = document
            if document.key.startswith(PREFIX):
                self._replace_bucket(document)
        for subscriber in self._subscribers:
            subscriber.put(documents)

    def _replace_bucket(self, document: Document) -> None:
        """Replace a bucket; if it is damaged, keep the last valid bucket."""
        try:
            self._buckets[document.key] = decode_bucket(document.content)
        except MembershipError as error:
            _log.error('gossip: %s is kept as it was: %s', document.key, error)
            self._damaged_keys |= {document.key}
            return
        self._damaged_keys -= {document.key}
