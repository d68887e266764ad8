"""One node's replica of a kind of the store's objects.

It knows what is news among them, and how recent all of it is. News is told
once to a few others by everyone who hears of it first.
"""

import math
from collections.abc import Callable

from fescueknot.gossip.document_log import DocumentLog
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS, FreshnessEvidence
from fescueknot.gossip.messages import Digest

_MS_PER_S = 1000
# What fits into one packet once it is deflated.
_TRANSFER_BYTES = 2400
_RUMOURS_BYTES = 1200
_UNLIMITED_BYTES = 1 << 40
# Others may soon bring what one peer can't: copies are long.
_PATIENCE_S = 3.0


class Replica:
    """Documents held, what is news among them, and how recent they are.

    ``version`` tells the version of the routes in force here. ``copy_source`` is a
    peer that has more than datagrams can bring here.
    """

    def __init__(self, *, version: Callable[[], int]) -> None:
        self.log = DocumentLog()
        self.evidence = FreshnessEvidence()
        self.copy_source: str | None = None
        self._stuck_since_s = math.inf
        self._version = version
        self._changed: list[Document] = []
        self._hot: dict[str, Document] = {}

    @property
    def has_rumours(self) -> bool:
        """Tell whether there is news to pass on."""
        return bool(self._hot)

    def apply_read(self, transfer: Transfer) -> None:
        """Take in what was read from the store."""
        changed = self._keep(self.log.apply(transfer))
        if not transfer.is_whole:
            self._heat(changed)

    def record_write(self, document: Document) -> None:
        """Take in what this node has written to the store."""
        self.hear((document,))

    def hear(self, rumours: tuple[Document, ...]) -> None:
        """Take in what a peer tells as news, and pass it on."""
        self._heat(self._keep(self.log.merge(rumours)))

    def apply_transfer(
        self, transfer: Transfer | None, source: str, now_s: float
    ) -> None:
        """Take in what a peer has sent because it was missing here."""
        if transfer is None:
            return
        before = self.log.cursor
        self._keep(self.log.apply(transfer))
        if self.log.cursor > before:
            self._stuck_since_s = math.inf
        elif _is_stuck(transfer):
            self._stuck_since_s = min(self._stuck_since_s, now_s)
        if now_s - self._stuck_since_s > _PATIENCE_S:
            self.copy_source = source

    def lacking(self, theirs: Digest) -> Transfer | None:
        """Return what a peer lacks, as far as it fits into a datagram."""
        if theirs.cursor >= self.log.cursor:
            return None
        return self.log.export(after=theirs.cursor, limit_bytes=_TRANSFER_BYTES)

    def export(self, *, after: int) -> Transfer:
        """Return all that a node lacks which has everything up to ``after``."""
        return self.log.export(after=after, limit_bytes=_UNLIMITED_BYTES)

    def rumours(self) -> tuple[Document, ...]:
        """Return what is held beyond the cursor, as far as it fits."""
        return self.log.ahead(_RUMOURS_BYTES)

    def relay(self, theirs: Digest, *, asked_at_s: float) -> None:
        """Take over a peer's evidence, if what it is about is held here."""
        known = theirs.age_ms != UNKNOWN_AGE_MS
        if known and self._version() >= theirs.version:
            self.evidence.record_relayed(
                asked_at_s=asked_at_s, age_s=theirs.age_ms / _MS_PER_S
            )

    def pop_changes(self) -> tuple[Document, ...]:
        """Return the documents that changed since the last call."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def take_hot(self) -> tuple[Document, ...]:
        """Return what others nearby are to hear at once."""
        hot = tuple(self._hot.values())
        self._hot.clear()
        return hot

    def digest(self, now_s: float) -> Digest:
        """Return what is held."""
        return Digest(
            cursor=self.log.cursor,
            held=self.log.held,
            version=self._version(),
            age_ms=self.evidence.age_ms(now_s),
        )

    def _keep(self, changed: tuple[Document, ...]) -> tuple[Document, ...]:
        self._changed.extend(changed)
        return changed

    def _heat(self, changed: tuple[Document, ...]) -> None:
        for document in changed:
            self._hot[document.key] = document


def _is_stuck(transfer: Transfer) -> bool:
    """Tell whether what is missing doesn't fit into datagrams."""
    return transfer.upto < transfer.goal and not transfer.documents
