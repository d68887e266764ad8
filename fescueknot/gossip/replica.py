"""One node's replica of all objects of one kind in the store.

It keeps the evidence of how recent its documents are, and the documents to be
spread by rumour mongering: a node to which a document is new pushes it once to
a few peers.
"""

import math
from collections.abc import Callable

from fescueknot.gossip.document_log import DocumentLog
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS, FreshnessEvidence
from fescueknot.gossip.messages import Digest

_MS_PER_S = 1000
# Limits before compression; after it the message fits into one packet.
_MAX_TRANSFER_BYTES = 2400
_MAX_RUMOURS_BYTES = 1200
_UNLIMITED_BYTES = 1 << 40
# A full copy is long. Before one is fetched, other peers get this time to send
# what fits into datagrams.
_CATCH_UP_TIMEOUT_S = 3.0


class Replica:
    """Document log, freshness evidence and documents to be spread.

    ``version`` returns the version of the routes in force at the local node.
    ``copy_source`` names a peer from which a full copy is to be fetched, since
    it has documents that don't fit into datagrams.
    """

    def __init__(self, *, version: Callable[[], int]) -> None:
        self.log = DocumentLog()
        self.evidence = FreshnessEvidence()
        self.copy_source: str | None = None
        self._stuck_since_s = math.inf
        self._version = version
        self._changes: list[Document] = []
        self._rumours: dict[str, Document] = {}

    @property
    def has_rumours(self) -> bool:
        """Return whether there are documents to be spread."""
        return bool(self._rumours)

    def apply_read(self, transfer: Transfer) -> None:
        """Apply what was read from the store.

        Documents of a whole copy are not spread.
        """
        changed = self._record_changes(self.log.apply(transfer))
        if not transfer.is_whole:
            self._add_rumours(changed)

    def record_write(self, document: Document) -> None:
        """Store and spread what the local node has written to the store."""
        self.receive_rumours((document,))

    def receive_rumours(self, rumours: tuple[Document, ...]) -> None:
        """Store a peer's documents and spread those that are new here."""
        self._add_rumours(self._record_changes(self.log.merge(rumours)))

    def apply_transfer(
        self, transfer: Transfer | None, peer_name: str, now_s: float
    ) -> None:
        """Apply what a peer has sent because it was missing here.

        Sets ``copy_source`` to the peer if the cursor has not moved within
        :data:`_CATCH_UP_TIMEOUT_S` after a transfer that came without documents
        since the next ones are too large for a datagram.
        """
        if transfer is None:
            return
        before = self.log.cursor
        self._record_changes(self.log.apply(transfer))
        if self.log.cursor > before:
            self._stuck_since_s = math.inf
        elif _exceeds_datagram(transfer):
            self._stuck_since_s = min(self._stuck_since_s, now_s)
        if now_s - self._stuck_since_s > _CATCH_UP_TIMEOUT_S:
            self.copy_source = peer_name

    def missing_at(self, peer_digest: Digest) -> Transfer | None:
        """Return what a peer lacks, as far as it fits into a datagram.

        Returns ``None`` if the peer's cursor is not behind the local one.
        """
        if peer_digest.cursor >= self.log.cursor:
            return None
        return self.log.export(
            after=peer_digest.cursor, limit_bytes=_MAX_TRANSFER_BYTES
        )

    def export(self, *, after: int) -> Transfer:
        """Return all that a node lacks that has documents up to ``after``."""
        return self.log.export(after=after, limit_bytes=_UNLIMITED_BYTES)

    def beyond_cursor(self) -> tuple[Document, ...]:
        """Return documents beyond the cursor, as far as they fit."""
        return self.log.beyond_cursor(_MAX_RUMOURS_BYTES)

    def relay_evidence(self, peer_digest: Digest, *, asked_at_s: float) -> None:
        """Record a peer's evidence.

        It is ignored if the routes in force at the peer are newer than the
        local ones, since it is about the peer's routes.
        """
        has_age = peer_digest.age_ms != UNKNOWN_AGE_MS
        if has_age and self._version() >= peer_digest.version:
            self.evidence.record_relayed(
                asked_at_s=asked_at_s, age_s=peer_digest.age_ms / _MS_PER_S
            )

    def pop_changes(self) -> tuple[Document, ...]:
        """Return and clear the documents changed since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def pop_rumours(self) -> tuple[Document, ...]:
        """Return and clear the documents to be spread."""
        rumours = tuple(self._rumours.values())
        self._rumours.clear()
        return rumours

    def digest(self, now_s: float) -> Digest:
        """Return the state of the replica for messages."""
        return Digest(
            cursor=self.log.cursor,
            held=self.log.held,
            version=self._version(),
            age_ms=self.evidence.age_ms(now_s),
        )

    def _record_changes(
        self, changed: tuple[Document, ...]
    ) -> tuple[Document, ...]:
        self._changes.extend(changed)
        return changed

    def _add_rumours(self, changed: tuple[Document, ...]) -> None:
        for document in changed:
            self._rumours[document.key] = document


def _exceeds_datagram(transfer: Transfer) -> bool:
    """Return whether the next document was too large for a datagram."""
    return transfer.upto < transfer.goal and not transfer.documents
