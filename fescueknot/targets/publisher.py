"""Keeping this host's entry in the object store as it should be."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.messages import StoredObject
from fescueknot.targets.messages import TargetEntry

TARGETS_KIND = 'fescueknot-targets'
_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 1.0


class EntryPublisher:
    """Writes the wanted entry until the store has it.

    It writes nothing before it was told what is wanted.

    ``stored`` is what the store last showed or acknowledged; ``wrote`` is
    told of each entry that the store has taken.
    """

    def __init__(
        self,
        *,
        store: AsyncObjectStore,
        node: str,
        rng: random.Random,
        note: Callable[..., None],
        on_write: Callable[[StoredObject], None],
    ) -> None:
        self._store = store
        self._key = f'{TARGETS_KIND}/{node}'
        self._rng = rng
        self._note = note
        self._wrote = on_write
        self._wanted: TargetEntry | None = None
        self._wanted_known = False
        self._stored: TargetEntry | None = None
        self._stored_known = False
        self._changed = asyncio.Event()
        self._settled = asyncio.Event()

    def set_desired(self, entry: TargetEntry | None) -> None:
        """Set the entry that the store should have; ``None`` for none."""
        self._wanted = entry
        self._wanted_known = True
        self._look()

    def set_observed(self, entry: TargetEntry | None) -> None:
        """Take what the store shows, so that a lost entry is written again."""
        self._stored = entry
        self._stored_known = True
        self._look()

    async def wait_reconciled(self, timeout_s: float) -> bool:
        """Wait until the store has the wanted entry; return whether so."""
        try:
            await asyncio.wait_for(self._settled.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write whenever something changed; runs for ever."""
        retry_s = _FIRST_RETRY_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._settled.is_set():
                continue
            wanted = self._wanted
            try:
                await self._write(wanted)
            except ObjectApiError as error:
                self._note('store.write_failed', error=str(error))
                await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1))
                retry_s = min(retry_s * 2, _LONGEST_RETRY_S)
                self._changed.set()
                continue
            retry_s = _FIRST_RETRY_S
            self.set_observed(wanted)

    async def _write(self, wanted: TargetEntry | None) -> None:
        if wanted is None:
            await self._store.delete(self._key)
            return
        text = msgspec.json.encode(wanted).decode()
        absent = self._stored_known and self._stored is None
        stored = await self._store.put(self._key, text, likely_new=absent)
        self._wrote(stored)

    def _look(self) -> None:
        if self._stored_known and self._wanted == self._stored:
            self._settled.set()
            return
        self._settled.clear()
        if self._wanted_known:
            self._changed.set()
