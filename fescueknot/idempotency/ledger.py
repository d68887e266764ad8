"""Ledger: the keys that this instance has begun, and their answers.

It forgets nothing within its memory term: at a bound it takes no new key.
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
    """The runs of one instance."""

    def __init__(self, *, bounds: LedgerBounds, memory_s: float) -> None:
        self._shelf = EntryTable(bounds=bounds, memory_s=memory_s)
        self._last_serial = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._shelf)

    @property
    def used_bytes(self) -> int:
        """Return the bytes that count against the bound."""
        return self._shelf.used_bytes

    def find(self, digest: bytes) -> Entry | None:
        """Return the entry of a key."""
        return self._shelf.find(digest)

    def begin(
        self,
        digest: bytes,
        *,
        fingerprint: bytes,
        now_s: float,
        start_by_s: float,
    ) -> Entry:
        """Enter a new key as running.

        Raise ``LedgerFullError`` at a bound.
        """
        self._shelf.forget(now_s)
        self._shelf.check_room(self._shelf.bounds.answer_bytes)
        self._last_serial += 1
        entry = Entry(
            state=EntryState.RUNNING,
            fingerprint=fingerprint,
            begun_s=now_s,
            start_by_s=start_by_s,
            serial=self._last_serial,
        )
        self._shelf.put(digest, entry)
        return entry

    def finish(
        self,
        digest: bytes,
        *,
        serial: int,
        answer: StoredAnswer,
    ) -> bool:
        """Keep the answer of a run, also after it was given up as lost.

        An answer that doesn't fit leaves the fact and a digest. Return
        whether the entry was waiting for it.
        """
        entry = self._waiting(digest, serial)
        if entry is None:
            return False
        packed = pack(answer)
        state = EntryState.DONE
        if not self._shelf.fits(entry, len(packed)):
            state = EntryState.TOO_LARGE
            packed = _digest_of(packed)
        done = msgspec.structs.replace(entry, state=state, packed=packed)
        self._shelf.put(digest, done)
        return True

    def lose(self, digest: bytes, *, serial: int) -> bool:
        """Note that the answer of a run was lost."""
        entry = self._waiting(digest, serial)
        if entry is None:
            return False
        lost = msgspec.structs.replace(entry, state=EntryState.LOST)
        self._shelf.put(digest, lost)
        return True

    def free(self, digest: bytes, *, serial: int) -> bool:
        """Forget a run that certainly did not happen."""
        entry = self._waiting(digest, serial)
        if entry is None or entry.state is not EntryState.RUNNING:
            return False
        self._shelf.drop(digest)
        return True

    def absorb(self, moved: MovedEntry, *, now_s: float) -> None:
        """Take over an entry; the one that knows more wins.

        Raise ``LedgerFullError`` at a bound.
        """
        present = self._shelf.find(moved.digest)
        if present and not _knows_more(moved, present):
            return
        if present is None:
            self._shelf.check_room(len(moved.packed))
        self._shelf.put(moved.digest, _settled(moved, now_s))

    def export(self, *, now_s: float) -> tuple[MovedEntry, ...]:
        """Return all entries with ages in place of local times."""
        self._shelf.forget(now_s)
        return tuple(
            _moving(digest, entry, now_s)
            for digest, entry in self._shelf.pairs()
        )

    def unsettled(self, *, now_s: float) -> tuple[bytes, ...]:
        """Return the keys that run or may still start."""
        return tuple(
            digest
            for digest, entry in self._shelf.pairs()
            if entry.may_start(now_s=now_s)
        )

    def _waiting(self, digest: bytes, serial: int) -> Entry | None:
        entry = self._shelf.find(digest)
        if entry is None or entry.serial != serial:
            return None
        return None if entry.state > EntryState.LOST else entry


def _digest_of(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).digest()


def _knows_more(moved: MovedEntry, present: Entry) -> bool:
    if present.state is EntryState.RUNNING:
        return False
    return moved.state > present.state


def _settled(moved: MovedEntry, now_s: float) -> Entry:
    return Entry(
        state=moved.state,
        fingerprint=moved.fingerprint,
        begun_s=now_s - moved.age_s,
        start_by_s=now_s + moved.start_within_s,
        serial=0,
        packed=moved.packed,
    )


def _moving(digest: bytes, entry: Entry, now_s: float) -> MovedEntry:
    return MovedEntry(
        digest=digest,
        state=max(entry.state, EntryState.LOST),
        fingerprint=entry.fingerprint,
        age_s=now_s - entry.begun_s,
        start_within_s=max(0, entry.start_by_s - now_s),
        packed=entry.packed,
    )
