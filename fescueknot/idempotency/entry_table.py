"""Bounded storage of ledger entries: room, sizes and forgetting."""

from collections.abc import Iterable

import msgspec

from fescueknot.idempotency.entries import Entry, EntryState
from fescueknot.idempotency.errors import LedgerFullError
from fescueknot.idempotency.expiry_queue import ForgettingQueue

_ENTRY_BYTES = 420


class LedgerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a ledger and of one answer in it."""

    entries: int = 50_000
    total_bytes: int = 24_000_000
    answer_bytes: int = 64_000


class EntryTable:
    """Entries by the digest of their key, counted against the bounds.

    A running entry reserves room for the largest answer.
    """

    def __init__(self, *, bounds: LedgerBounds, memory_s: float) -> None:
        self.bounds = bounds
        self.used_bytes = 0
        self._memory_s = memory_s
        self._entries: dict[bytes, Entry] = {}
        self._queue = ForgettingQueue()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def find(self, digest: bytes) -> Entry | None:
        """Return the entry of a key."""
        return self._entries.get(digest)

    def pairs(self) -> Iterable[tuple[bytes, Entry]]:
        """Return all digests with their entries."""
        return self._entries.items()

    def check_room(self, answer_bytes: int) -> None:
        """Raise :class:`LedgerFullError` when no entry can be added."""
        if len(self._entries) >= self.bounds.entries:
            raise LedgerFullError('ledger full: entries')
        needed_bytes = _ENTRY_BYTES + answer_bytes
        if self.used_bytes + needed_bytes > self.bounds.total_bytes:
            raise LedgerFullError('ledger full: bytes')

    def fits(self, entry: Entry, answer_bytes: int) -> bool:
        """Return whether an answer fits into the room of its entry."""
        if answer_bytes > self.bounds.answer_bytes:
            return False
        if entry.state is EntryState.RUNNING:
            return True
        return self.used_bytes + answer_bytes <= self.bounds.total_bytes

    def put(self, digest: bytes, entry: Entry) -> None:
        """Add an entry or replace it."""
        present = self._entries.get(digest)
        if present is None:
            self._queue.push(digest, entry.begun_s + self._memory_s)
        else:
            self.used_bytes -= self._size_bytes(present)
        self.used_bytes += self._size_bytes(entry)
        self._entries[digest] = entry

    def drop(self, digest: bytes) -> None:
        """Remove an entry, if it is there."""
        entry = self._entries.pop(digest, None)
        if entry is not None:
            self.used_bytes -= self._size_bytes(entry)

    def forget(self, now_s: float) -> None:
        """Remove the entries that are past the memory term."""
        for digest in self._queue.pop_due(now_s):
            entry = self._entries.get(digest)
            if entry and entry.begun_s + self._memory_s <= now_s:
                self.drop(digest)

    def _size_bytes(self, entry: Entry) -> int:
        if entry.state is EntryState.RUNNING:
            return _ENTRY_BYTES + self.bounds.answer_bytes
        return _ENTRY_BYTES + len(entry.packed)
