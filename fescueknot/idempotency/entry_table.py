"""Bounded table of ledger entries: capacity, sizes and eviction."""

from collections.abc import Iterable

import msgspec

from fescueknot.idempotency.entries import Entry, EntryState
from fescueknot.idempotency.errors import LedgerFullError
from fescueknot.idempotency.expiry_queue import ExpiryQueue

_ENTRY_OVERHEAD_BYTES = 420


class LedgerBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a ledger and of one answer in it."""

    entries: int = 50_000
    total_bytes: int = 24_000_000
    answer_bytes: int = 64_000


class EntryTable:
    """Entries by the digest of their key, within the bounds.

    A running entry reserves ``answer_bytes`` for its answer.
    """

    def __init__(
        self, *, bounds: LedgerBounds, entry_retention_s: float
    ) -> None:
        self.bounds = bounds
        self.used_bytes = 0
        self._retention_s = entry_retention_s
        self._entries: dict[bytes, Entry] = {}
        self._queue = ExpiryQueue()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def find(self, digest: bytes) -> Entry | None:
        """Return the entry of a key, ``None`` if there is none."""
        return self._entries.get(digest)

    def items(self) -> Iterable[tuple[bytes, Entry]]:
        """Return all digests with their entries."""
        return self._entries.items()

    def check_capacity(self, answer_bytes: int) -> None:
        """Raise :class:`LedgerFullError` if no entry can be added."""
        if len(self._entries) >= self.bounds.entries:
            raise LedgerFullError(f'ledger full: {len(self._entries)} entries')
        needed_bytes = _ENTRY_OVERHEAD_BYTES + answer_bytes
        if self.used_bytes + needed_bytes > self.bounds.total_bytes:
            raise LedgerFullError(f'ledger full: {needed_bytes} bytes needed')

    def fits(self, entry: Entry, answer_bytes: int) -> bool:
        """Return whether an answer can be stored with its entry."""
        if answer_bytes > self.bounds.answer_bytes:
            return False
        if entry.state is EntryState.RUNNING:
            return True
        return self.used_bytes + answer_bytes <= self.bounds.total_bytes

    def put(self, digest: bytes, entry: Entry) -> None:
        """Add an entry or replace it."""
        present = self._entries.get(digest)
        if present is None:
            self._queue.push(digest, entry.begun_s + self._retention_s)
        else:
            self.used_bytes -= self._size_bytes(present)
        self.used_bytes += self._size_bytes(entry)
        self._entries[digest] = entry

    def remove(self, digest: bytes) -> None:
        """Remove an entry if it exists."""
        entry = self._entries.pop(digest, None)
        if entry is not None:
            self.used_bytes -= self._size_bytes(entry)

    def evict_expired(self, now_s: float) -> None:
        """Remove the entries that are past the retention time."""
        for digest in self._queue.pop_expired(now_s):
            entry = self._entries.get(digest)
            if entry and entry.begun_s + self._retention_s <= now_s:
                self.remove(digest)

    def _size_bytes(self, entry: Entry) -> int:
        if entry.state is EntryState.RUNNING:
            return _ENTRY_OVERHEAD_BYTES + self.bounds.answer_bytes
        return _ENTRY_OVERHEAD_BYTES + len(entry.packed)
