"""What a node knows, for other threads to read.

The gossip task replaces whole values here; readers take them as they are and
never wait.
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

    ``current_at_s`` is the monotonic clock of the store evidence, ``cursor``
    the revision from which a reader goes on.
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
        self._damaged: frozenset[str] = frozenset()
        self._subscribers: tuple[queue.SimpleQueue, ...] = ()

    def instances(self, service: str) -> tuple[Announcement, ...]:
        """Return the instances of a service, in whatever state but gone."""
        return self._services.get(service, ())

    def all_announcements(self) -> tuple[Announcement, ...]:
        """Return the instances of all services, but for those gone."""
        known = tuple(self._services.values())
        return tuple(itertools.chain.from_iterable(known))

    def evidence(self, now_s: float) -> StoreEvidence:
        """Return how recent the copy of the store is."""
        status = self.status
        return StoreEvidence(
            revision=status.held, age_s=now_s - status.current_at_s
        )

    def document(self, key: str) -> Document | None:
        """Return a document of the store, a deleted one without content."""
        return self._documents.get(key)

    def roster(self, service: str) -> Roster:
        """Return the roster of a service as far as it is known here."""
        key = bucket_key(service, bucket_count=self._bucket_count)
        return self._buckets.get(key, _EMPTY).find(service)

    def is_damaged(self, service: str) -> bool:
        """Tell whether the newest roster of a service can't be read.

        What the board returns for it is older than the evidence says.
        """
        key = bucket_key(service, bucket_count=self._bucket_count)
        return key in self._damaged

    def subscribe(
        self, changes: 'queue.SimpleQueue[tuple[Document, ...]]'
    ) -> None:
        """Put documents into ``changes`` as they change, in their order."""
        self._subscribers += (changes,)

    def post_service(
        self, service: str, instances: tuple[Announcement, ...]
    ) -> None:
        """Replace the instances of a service."""
        if instances:
            self._services[service] = instances
        else:
            self._services.pop(service, None)

    def post_documents(self, documents: tuple[Document, ...]) -> None:
        """Replace documents and tell the subscribers."""
        for document in documents:
            self._documents[document.key] = document
            if document.key.startswith(PREFIX):
                self._post_bucket(document)
        for subscriber in self._subscribers:
            subscriber.put(documents)

    def _post_bucket(self, document: Document) -> None:
        """Replace a bucket; a damaged one leaves the last good one."""
        try:
            self._buckets[document.key] = decode_bucket(document.content)
        except MembershipError as error:
            _log.error('gossip: %s is kept as it was: %s', document.key, error)
            self._damaged |= {document.key}
            return
        self._damaged -= {document.key}
