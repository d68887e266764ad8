"""Ledger of the keys that this instance has begun, with their answers.

No entry is evicted within the retention time: a full ledger refuses new keys.
"""

import hashlib

import msgspec

from fescueknot.idempotency.entries import (
    Entry,
    EntryState,
    MovedEntry,
    StoredAnswer,
    pack,
)
from fescueknot.idempotency.entry_table import EntryTable, LedgerBounds

_DIGEST_BYTES = 32


class Ledger:
    """Entries of the keys that one instance has begun or taken over."""

    def __init__(
        self, *, bounds: LedgerBounds, entry_retention_s: float
    ) -> None:
        self._table = EntryTable(
            bounds=bounds, entry_retention_s=entry_retention_s
        )
        self._last_serial = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._table)

    @property
    def used_bytes(self) -> int:
        """Return the bytes that count against ``LedgerBounds.total_bytes``."""
        return self._table.used_bytes

    def find(self, digest: bytes) -> Entry | None:
        """Return the entry of a key, ``None`` if there is none."""
        return self._table.find(digest)

    def begin(
        self,
        digest: bytes,
        *,
        fingerprint: bytes,
        now_s: float,
        start_by_s: float,
    ) -> Entry:
        """Add an entry in state ``RUNNING`` for a new key.

        Raise ``LedgerFullError`` when the ledger is full.
        """
        self._table.evict_expired(now_s)
        self._table.check_capacity(self._table.bounds.answer_bytes)
        self._last_serial += 1
        entry = Entry(
            state=EntryState.RUNNING,
            fingerprint=fingerprint,
            begun_s=now_s,
            start_by_s=start_by_s,
            serial=self._last_serial,
        )
        self._table.put(digest, entry)
        return entry

    def finish(
        self,
        digest: bytes,
        *,
        serial: int,
        answer: StoredAnswer,
    ) -> bool:
        """Store the answer of a run, even if it was marked as lost.

        For an answer that does not fit, only its digest is stored, in state
        ``TOO_LARGE``. Return whether the entry was still without an answer.
        """
        entry = self._unfinished_entry(digest, serial)
        if entry is None:
            return False
        packed = pack(answer)
        state = EntryState.DONE
        if not self._table.fits(entry, len(packed)):
            state = EntryState.TOO_LARGE
            packed = _digest_of(packed)
        done = msgspec.structs.replace(entry, state=state, packed=packed)
        self._table.put(digest, done)
        return True

    def mark_lost(self, digest: bytes, *, serial: int) -> bool:
        """Record that the answer of a run was lost."""
        entry = self._unfinished_entry(digest, serial)
        if entry is None:
            return False
        lost = msgspec.structs.replace(entry, state=EntryState.LOST)
        self._table.put(digest, lost)
        return True

    def cancel(self, digest: bytes, *, serial: int) -> bool:
        """Remove the entry of a run that certainly did not happen."""
        entry = self._unfinished_entry(digest, serial)
        if entry is None or entry.state is not EntryState.RUNNING:
            return False
        self._table.remove(digest)
        return True

    def import_entry(self, moved: MovedEntry, *, now_s: float) -> None:
        """Add an entry of another ledger.

        It replaces an existing entry only if its state is higher; a run of
        this ledger in progress is never replaced. Raise ``LedgerFullError``
        when the ledger is full.
        """
        present = self._table.find(moved.digest)
        if present and not _supersedes(moved, present):
            return
        if present is None:
            self._table.check_capacity(len(moved.packed))
        self._table.put(moved.digest, _to_local(moved, now_s))

    def export(self, *, now_s: float) -> tuple[MovedEntry, ...]:
        """Return all entries, with ages in place of local times."""
        self._table.evict_expired(now_s)
        return tuple(
            _to_moved(digest, entry, now_s)
            for digest, entry in self._table.items()
        )

    def pending_keys(self, *, now_s: float) -> tuple[bytes, ...]:
        """Return the digests of keys that run or may still start."""
        return tuple(
            digest
            for digest, entry in self._table.items()
            if entry.may_still_run(now_s=now_s)
        )

    def _unfinished_entry(self, digest: bytes, serial: int) -> Entry | None:
        entry = self._table.find(digest)
        if entry is None or entry.serial != serial:
            return None
        return None if entry.state > EntryState.LOST else entry


def _digest_of(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).digest()


def _supersedes(moved: MovedEntry, present: Entry) -> bool:
    if present.state is EntryState.RUNNING:
        return False
    return moved.state > present.state


def _to_local(moved: MovedEntry, now_s: float) -> Entry:
    return Entry(
        state=moved.state,
        fingerprint=moved.fingerprint,
        begun_s=now_s - moved.age_s,
        start_by_s=now_s + moved.start_within_s,
        serial=0,
        packed=moved.packed,
    )


def _to_moved(digest: bytes, entry: Entry, now_s: float) -> MovedEntry:
    return MovedEntry(
        digest=digest,
        state=max(entry.state, EntryState.LOST),
        fingerprint=entry.fingerprint,
        age_s=now_s - entry.begun_s,
        start_within_s=max(0, entry.start_by_s - now_s),
        packed=entry.packed,
    )
