"""Keeps requests that are held back in the object store.

Nodes tell each other; the store is for the case that all of them are killed at
once. A node reads it once, at its start. Nothing depends on revisions: what an
older copy of the store brings back is merged with what nodes remember, and what
it has lost is written again by the node that wrote it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from fescueknot.decoding import DECODE_ERRORS, Count
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.messages import StoredObject
from fescueknot.quarantine.book import SuspectBook
from fescueknot.quarantine.messages import Crash, SuspectRecord
from fescueknot.relay.observer import Observer

QUARANTINE_KIND = 'fescueknot-quarantine'
_FIRST_RETRY_S = 0.5
_MAX_RETRY_S = 5.0
_MS_PER_S = 1000


class StoredQuarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A record as written; its ages count from ``written_ms`` (Unix)."""

    written_ms: Count
    crashes: tuple[Crash, ...]


class QuarantineArchive:
    """Reads the stored records once, then writes new ones until stored.

    ``wall_s`` returns the Unix time.
    """

    def __init__(
        self,
        *,
        store: AsyncObjectStore,
        book: SuspectBook,
        observer: Observer,
        rng: random.Random,
        wall_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._book = book
        self._observer = observer
        self._rng = rng
        self._wall_s = wall_s
        self._unsaved: set[str] = set()
        self._saved: set[str] = set()
        self._save_needed = asyncio.Event()

    def save(self, fingerprints: tuple[str, ...]) -> None:
        """Have the records of fingerprints written."""
        self._unsaved.update(fingerprints)
        if fingerprints:
            self._save_needed.set()

    def write_again(self) -> None:
        """Have all that this node has written written again.

        The store has come back from an older copy and may have lost it.
        """
        self.save(tuple(self._saved))

    async def run(self) -> None:
        """Read, then write whatever is to be saved; runs until cancelled."""
        await self._until_done(self._load)
        if self._unsaved:
            self._save_needed.set()
        while True:
            await self._save_needed.wait()
            self._save_needed.clear()
            await self._until_done(self._save_all)

    async def _until_done(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step until the store has done it."""
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                await step()
            except ObjectApiError as error:
                self._observer.note('store.quarantine_failed', error=str(error))
            else:
                return
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1))
            retry_s = min(retry_s * 2, _MAX_RETRY_S)

    async def _load(self) -> None:
        listing = await self._store.list(QUARANTINE_KIND, stale=True)
        await asyncio.gather(*map(self._load_object, listing.objects))

    async def _load_object(self, stored: StoredObject) -> None:
        fingerprint = stored.key.rpartition('/')[2]
        try:
            quarantine = msgspec.json.decode(
                stored.value, type=StoredQuarantine
            )
        except DECODE_ERRORS as error:
            self._observer.note(
                'store.quarantine_unreadable', key=stored.key, error=str(error)
            )
            return
        now_s = asyncio.get_running_loop().time()
        record = self._aged_record(fingerprint, quarantine)
        self._book.merge((record,), now_s)
        self._book.prune(now_s)
        if not self._book.records_of((fingerprint,), now_s):
            await self._store.delete(stored.key)

    async def _save_all(self) -> None:
        now_s = asyncio.get_running_loop().time()
        fingerprints = tuple(sorted(self._unsaved))
        records = self._book.records_of(fingerprints, now_s)
        await asyncio.gather(*map(self._save_record, records))
        self._saved = self._still_held(self._saved.union(fingerprints))
        # More may have come while the store was writing.
        self._unsaved.difference_update(fingerprints)

    def _still_held(self, fingerprints: set[str]) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        held = {one.fingerprint for one in self._book.held(now_s)}
        return fingerprints & held

    async def _save_record(self, record: SuspectRecord) -> None:
        quarantine = StoredQuarantine(
            written_ms=int(self._wall_s() * _MS_PER_S), crashes=record.crashes
        )
        await self._store.put(
            f'{QUARANTINE_KIND}/{record.fingerprint}',
            msgspec.json.encode(quarantine).decode(),
            likely_new=True,
        )

    def _aged_record(
        self, fingerprint: str, quarantine: StoredQuarantine
    ) -> SuspectRecord:
        """Return a stored record with its ages as of now."""
        elapsed_ms = int(self._wall_s() * _MS_PER_S) - quarantine.written_ms
        return SuspectRecord(
            fingerprint=fingerprint,
            crashes=tuple(
                msgspec.structs.replace(
                    crash, age_ms=crash.age_ms + max(0, elapsed_ms)
                )
                for crash in quarantine.crashes
            ),
        )
