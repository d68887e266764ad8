"""The documents that one node holds, in the order of the store's revisions.

A long transfer comes in pieces, in ascending order. ``cursor`` is how far the
pieces reach; ``goal`` the revision of the whole state that they belong to.
Only when the cursor has reached the goal is that state held.
"""

import bisect
from collections.abc import Iterable

from fescueknot.gossip.documents import Document, Transfer

TOMBSTONE_LIMIT = 4096
_OVERHEAD_BYTES = 48


def size_bytes(document: Document) -> int:
    """Return roughly how many bytes a document takes in a message."""
    return len(document.key) + len(document.content or '') + _OVERHEAD_BYTES


class DocumentLog:
    """Latest version of each document, with the revision held."""

    def __init__(self, *, tombstone_limit: int = TOMBSTONE_LIMIT) -> None:
        self._documents: dict[str, Document] = {}
        self._order: list[tuple[int, str]] = []
        self._tombstones: list[tuple[int, str]] = []
        self._tombstone_limit = tombstone_limit
        self._floor = 0
        self.cursor = 0
        self.goal = 0
        self.held = 0

    def find(self, key: str) -> Document | None:
        """Return the document ``key``, a deleted one without content."""
        return self._documents.get(key)

    def since(self, revision: int, *, prefix: str = '') -> tuple[Document, ...]:
        """Return documents changed after ``revision``, in their order."""
        start = bisect.bisect_right(self._order, (revision + 1, ''))
        keys = (key for _, key in self._order[start:])
        return tuple(
            self._documents[key] for key in keys if key.startswith(prefix)
        )

    def ahead(self, limit_bytes: int) -> tuple[Document, ...]:
        """Return documents beyond the cursor, the newest ones that fit."""
        newest_first = tuple(reversed(self.since(self.cursor)))
        return _fitting(newest_first, limit_bytes)

    def merge(self, documents: Iterable[Document]) -> tuple[Document, ...]:
        """Take single documents in and return those that changed.

        They may lie beyond the cursor, which stays: what is between may be
        missing.
        """
        changed = tuple(filter(self._store, documents))
        self._trim()
        return changed

    def export(self, *, after: int, limit_bytes: int) -> Transfer:
        """Return what someone lacks who has everything up to ``after``.

        A transfer that doesn't fit ends early, between two revisions.
        """
        is_whole = after < self._floor
        start = 0 if is_whole else after
        wanted = tuple(
            document
            for document in self.since(start)
            if document.revision <= self.cursor
        )
        fitting = _fitting(wanted, limit_bytes)
        if is_whole and len(fitting) < len(wanted):
            return Transfer(after=after, upto=after, goal=self.goal)
        return Transfer(
            after=start,
            upto=self._reach(start, wanted, fitting),
            goal=self.goal,
            documents=fitting,
            is_whole=is_whole,
            floor=self._floor,
        )

    def apply(self, transfer: Transfer) -> tuple[Document, ...]:
        """Take a transfer in and return the documents that changed.

        A transfer that leaves a gap, or has nothing new, changes nothing.
        """
        if transfer.after > self.cursor or transfer.upto <= self.cursor:
            return ()
        changed = tuple(filter(self._store, transfer.documents))
        if transfer.is_whole:
            changed += self._bury_missing(transfer)
            self._floor = max(self._floor, transfer.floor)
        self.cursor = transfer.upto
        self.goal = max(self.goal, transfer.goal)
        if self.cursor >= self.goal:
            self.held = self.cursor
        self._trim()
        return changed

    def _reach(
        self,
        start: int,
        wanted: tuple[Document, ...],
        fitting: tuple[Document, ...],
    ) -> int:
        if len(fitting) == len(wanted):
            return self.cursor
        return fitting[-1].revision if fitting else start

    def _store(self, document: Document) -> bool:
        present = self._documents.get(document.key)
        if present is not None:
            if present.revision >= document.revision:
                return False
            self._forget(present)
        self._documents[document.key] = document
        bisect.insort(self._order, (document.revision, document.key))
        if document.content is None:
            bisect.insort(self._tombstones, (document.revision, document.key))
        return True

    def _bury_missing(self, transfer: Transfer) -> tuple[Document, ...]:
        listed = {document.key for document in transfer.documents}
        missing = (
            Document(key=key, revision=transfer.upto)
            for key, document in self._documents.items()
            if key not in listed and document.content is not None
        )
        return tuple(filter(self._store, tuple(missing)))

    def _forget(self, document: Document) -> None:
        entry = (document.revision, document.key)
        self._documents.pop(document.key)
        self._order.pop(bisect.bisect_left(self._order, entry))
        if document.content is None:
            index = bisect.bisect_left(self._tombstones, entry)
            self._tombstones.pop(index)

    def _trim(self) -> None:
        while len(self._tombstones) > self._tombstone_limit:
            revision, key = self._tombstones[0]
            self._forget(self._documents[key])
            self._floor = max(self._floor, revision)


def _fitting(
    documents: tuple[Document, ...], limit_bytes: int
) -> tuple[Document, ...]:
    """Return the longest head that fits and doesn't split a revision."""
    total_bytes = 0
    cut = 0
    for index, document in enumerate(documents):
        if index and documents[index - 1].revision != document.revision:
            cut = index
        total_bytes += size_bytes(document)
        if total_bytes > limit_bytes:
            return documents[:cut]
    return documents
