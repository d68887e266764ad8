"""The documents that one node stores, ordered by the store's revisions.

A long transfer arrives in pieces, in ascending order of revisions. ``cursor``
is the revision up to which pieces have arrived without a gap, ``goal`` the
revision of the complete state of the store that they belong to. Only when the
cursor has reached the goal does the node have that state; ``held`` is then set
to its revision.

The store may come back from an older copy; its new era then holds what the copy
held and nothing else. Once the cursor lies in an era, documents of earlier eras
are refused. Once the state is complete, those that are left don't exist: the
copy has lost them.
"""

import bisect
import itertools
from collections.abc import Iterable

from fescueknot.gossip.documents import Document, Transfer
from fescueknot.objectapi.revisions import first_of_era

TOMBSTONE_LIMIT = 4096
_OVERHEAD_BYTES = 48


def size_bytes(document: Document) -> int:
    """Return the approximate size of a document in a message."""
    return len(document.key) + len(document.content or '') + _OVERHEAD_BYTES


class DocumentLog:
    """Latest version of each document, deletions included as tombstones."""

    def __init__(self, *, tombstone_limit: int = TOMBSTONE_LIMIT) -> None:
        self._documents: dict[str, Document] = {}
        self._order: list[tuple[int, str]] = []
        self._tombstones: list[tuple[int, str]] = []
        self._tombstone_limit = tombstone_limit
        self._floor_revision = 0
        self.cursor = 0
        self.goal = 0
        self.held = 0

    @property
    def newest_revision(self) -> int:
        """Return the highest revision known, also beyond the cursor."""
        newest = self._order[-1][0] if self._order else 0
        return max(self.cursor, newest)

    def find(self, key: str) -> Document | None:
        """Return the document ``key``; a deleted one has no content."""
        return self._documents.get(key)

    def since(self, revision: int, *, prefix: str = '') -> tuple[Document, ...]:
        """Return documents changed after ``revision``, by revision."""
        start = bisect.bisect_right(self._order, (revision + 1, ''))
        keys = (key for _, key in self._order[start:])
        return tuple(
            self._documents[key] for key in keys if key.startswith(prefix)
        )

    def beyond_cursor(self, limit_bytes: int) -> tuple[Document, ...]:
        """Return the newest documents beyond the cursor that fit."""
        newest_first = tuple(reversed(self.since(self.cursor)))
        return _fitting_prefix(newest_first, limit_bytes)

    def merge(self, documents: Iterable[Document]) -> tuple[Document, ...]:
        """Store single documents and return those that changed.

        They may lie beyond the cursor. It does not move, since documents with
        revisions between may be missing.
        """
        changed = tuple(filter(self._store, documents))
        self._trim_tombstones()
        return changed

    def export(self, *, after: int, limit_bytes: int) -> Transfer:
        """Return what a node lacks that has all documents up to ``after``.

        A transfer that exceeds ``limit_bytes`` ends early, between two
        revisions. A whole copy can't be split: one that is too large is
        returned without documents.
        """
        is_whole = after < self._floor_revision
        start = 0 if is_whole else after
        wanted = tuple(
            document
            for document in self.since(start)
            if document.revision <= self.cursor
        )
        fitting = _fitting_prefix(wanted, limit_bytes)
        if is_whole and len(fitting) < len(wanted):
            return Transfer(after=after, upto=after, goal=self.goal)
        return Transfer(
            after=start,
            upto=self._end_revision(start, wanted, fitting),
            goal=self.goal,
            documents=fitting,
            is_whole=is_whole,
            floor=self._floor_revision,
        )

    def apply(self, transfer: Transfer) -> tuple[Document, ...]:
        """Apply a transfer and return the documents that changed.

        A transfer that begins beyond the cursor, or ends at or before it,
        changes nothing.
        """
        if transfer.after > self.cursor or transfer.upto <= self.cursor:
            return ()
        changed = tuple(filter(self._store, transfer.documents))
        if transfer.is_whole:
            changed += self._delete_missing(transfer)
            self._floor_revision = max(self._floor_revision, transfer.floor)
        self.cursor = transfer.upto
        self.goal = max(self.goal, transfer.goal)
        if self.cursor >= self.goal:
            changed += self._complete()
        self._trim_tombstones()
        return changed

    def _complete(self) -> tuple[Document, ...]:
        """Hold the state up to the cursor; return documents that are lost."""
        era_began = first_of_era(self.cursor)
        is_new_era = first_of_era(self.held) < era_began
        self.held = self.cursor
        if not is_new_era:
            return ()
        older = itertools.takewhile(
            lambda entry: entry[0] < era_began, self._order
        )
        lost = tuple(
            Document(key=key, revision=era_began)
            for _, key in older
            if self._documents[key].content is not None
        )
        return tuple(filter(self._store, lost))

    def _end_revision(
        self,
        start: int,
        wanted: tuple[Document, ...],
        fitting: tuple[Document, ...],
    ) -> int:
        if len(fitting) == len(wanted):
            return self.cursor
        return fitting[-1].revision if fitting else start

    def _store(self, document: Document) -> bool:
        if document.revision < first_of_era(self.cursor):
            return False
        present = self._documents.get(document.key)
        if present is not None:
            if present.revision >= document.revision:
                return False
            self._remove(present)
        self._documents[document.key] = document
        bisect.insort(self._order, (document.revision, document.key))
        if document.content is None:
            bisect.insort(self._tombstones, (document.revision, document.key))
        return True

    def _delete_missing(self, transfer: Transfer) -> tuple[Document, ...]:
        listed = {document.key for document in transfer.documents}
        missing = (
            Document(key=key, revision=transfer.upto)
            for key, document in self._documents.items()
            if key not in listed and document.content is not None
        )
        return tuple(filter(self._store, tuple(missing)))

    def _remove(self, document: Document) -> None:
        entry = (document.revision, document.key)
        self._documents.pop(document.key)
        self._order.pop(bisect.bisect_left(self._order, entry))
        if document.content is None:
            index = bisect.bisect_left(self._tombstones, entry)
            self._tombstones.pop(index)

    def _trim_tombstones(self) -> None:
        while len(self._tombstones) > self._tombstone_limit:
            revision, key = self._tombstones[0]
            self._remove(self._documents[key])
            self._floor_revision = max(self._floor_revision, revision)


def _fitting_prefix(
    documents: tuple[Document, ...], limit_bytes: int
) -> tuple[Document, ...]:
    """Return the longest prefix that fits and doesn't split a revision."""
    total_bytes = 0
    cut = 0
    for index, document in enumerate(documents):
        if index and documents[index - 1].revision != document.revision:
            cut = index
        total_bytes += size_bytes(document)
        if total_bytes > limit_bytes:
            return documents[:cut]
    return documents
