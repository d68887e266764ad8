"""Reconciliation of the local target's entry in the object store."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.messages import StoredObject
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.targets.messages import TargetEntry, TargetState

TARGETS_KIND = 'fescueknot-targets'
_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 1.0
# A copy from which the store comes back is some seconds old; what was written
# longer ago is in it.
_MAX_COPY_AGE_S = 60.0


class EntryPublisher:
    """Writes the desired entry until the store has it.

    It writes nothing before the desired entry has been set. The observed entry
    is the one that was last read from the store or acknowledged by it in the
    current era. ``on_write`` is called with each object that the store has
    written.
    """

    def __init__(
        self,
        *,
        store: AsyncObjectStore,
        node: str,
        rng: random.Random,
        note: Callable[..., None],
        on_write: Callable[[StoredObject], None],
        era: StoreEra,
    ) -> None:
        self._store = store
        self._key = f'{TARGETS_KIND}/{node}'
        self._rng = rng
        self._note = note
        self._on_write = on_write
        self._era = era
        self._written_s = -math.inf
        self._desired: TargetEntry | None = None
        self._is_desired_known = False
        self._observed: TargetEntry | None = None
        self._is_observed_known = False
        self._write_needed = asyncio.Event()
        self._reconciled = asyncio.Event()

    def set_desired(self, entry: TargetEntry | None) -> None:
        """Set the desired entry; ``None`` to remove it from the store."""
        self._desired = entry
        self._is_desired_known = True
        self._compare()

    def set_observed(self, entry: TargetEntry | None) -> None:
        """Set the observed entry; write again if the desired one is lost."""
        self._observed = entry
        self._is_observed_known = True
        self._compare()

    def write_again(self, spread_s: float) -> None:
        """Write again what the store may have lost with its last seconds.

        All nodes may have to, so each waits for a random part of ``spread_s``;
        a target that leaves is written at once.
        """
        loop = asyncio.get_running_loop()
        if loop.time() - self._written_s > _MAX_COPY_AGE_S:
            return
        is_serving = (
            self._desired is not None
            and self._desired.state is TargetState.SERVING
        )
        delay_s = self._rng.uniform(0, spread_s) if is_serving else 0
        loop.call_later(delay_s, self._forget_observed)

    async def wait_reconciled(self, timeout_s: float) -> bool:
        """Wait until the store has the desired entry.

        Returns whether it has it within ``timeout_s``.
        """
        try:
            await asyncio.wait_for(self._reconciled.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write whenever the entries differ; runs until cancelled."""
        retry_s = _FIRST_RETRY_S
        self._compare()
        while True:
            await self._write_needed.wait()
            self._write_needed.clear()
            if self._reconciled.is_set():
                continue
            try:
                await self._write_once()
            except ObjectApiError as error:
                self._note('store.write_failed', error=str(error))
                await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1))
                retry_s = min(retry_s * 2, _MAX_RETRY_S)
                self._write_needed.set()
                continue
            retry_s = _FIRST_RETRY_S

    async def _write_once(self) -> None:
        desired = self._desired
        era = self._era.current
        await self._write(desired)
        self._written_s = asyncio.get_running_loop().time()
        if self._era.current == era:
            self.set_observed(desired)
        else:
            # The store may have lost this write with the old era.
            self._write_needed.set()

    async def _write(self, desired: TargetEntry | None) -> None:
        if desired is None:
            await self._store.delete(self._key)
            return
        text = msgspec.json.encode(desired).decode()
        is_absent = self._is_observed_known and self._observed is None
        stored = await self._store.put(self._key, text, likely_new=is_absent)
        self._on_write(stored)

    def _forget_observed(self) -> None:
        self._is_observed_known = False
        self._compare()

    def _compare(self) -> None:
        if self._is_observed_known and self._desired == self._observed:
            self._reconciled.set()
            return
        self._reconciled.clear()
        if self._is_desired_known:
            self._write_needed.set()
