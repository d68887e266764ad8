"""Reads and writes the lease of one shard in the object store."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import Conflict, NotFound, ObjectApiError
from fescueknot.quotas.lease import Lease, Pause, Read, Write
from fescueknot.quotas.shard_owner import ShardOwner
from fescueknot.relay.observer import Observer

QUOTA_KIND = 'quota-owners'
# A change of the configuration or of the candidates is seen after this time.
_MAX_PAUSE_S = 1.0


class QuotaLeaseTask:
    """Does what the lease of a :class:`ShardOwner` asks for.

    ``prepare`` sets its role; it returns whether there is a limited account.
    Without one, nothing is read or written. ``era`` returns the store's era,
    ``boot_s`` the time by a clock that runs on while the host is suspended.
    """

    def __init__(
        self,
        *,
        key: str,
        owner: ShardOwner,
        prepare: Callable[[], bool],
        era: Callable[[], int],
        boot_s: Callable[[], float],
        observer: Observer,
    ) -> None:
        self._key = f'{QUOTA_KIND}/{key}'
        self._owner = owner
        self._prepare = prepare
        self._era = era
        self._boot_s = boot_s
        self._observer = observer
        self._prompted = asyncio.Event()
        self._was_held = False

    @property
    def is_owner(self) -> bool:
        """Return whether this node owns the shard now."""
        return self._owner.lease.is_held(self._boot_s())

    def prompt(self) -> None:
        """Wake the task: a node looks for the owner."""
        self._prompted.set()

    async def run(self, store: AsyncObjectStore) -> None:
        """Keep or seek the lease until cancelled."""
        while True:
            pause_s = await self._take_step(store)
            self._note_change()
            await self._pause(pause_s)

    async def _take_step(self, store: AsyncObjectStore) -> float:
        """Read or write if it is time to; return how long to pause."""
        if not self._prepare():
            return _MAX_PAUSE_S
        lease = self._owner.lease
        now_s = self._boot_s()
        step = lease.next_step(now_s, self._era())
        if isinstance(step, Pause):
            return min(_MAX_PAUSE_S, step.until_s - now_s)
        await self._call_store(store, lease, step)
        return 0

    async def _call_store(
        self, store: AsyncObjectStore, lease: Lease, step: Read | Write
    ) -> None:
        act = self._read if isinstance(step, Read) else self._write
        try:
            await act(store, step)
        except (Conflict, NotFound):
            lease.write_refused(self._boot_s())
        except ObjectApiError as error:
            lease.failed(self._boot_s())
            self._observer.note(
                'quota.store_failed', key=self._key, error=str(error)
            )

    async def _read(self, store: AsyncObjectStore, step: Read) -> None:
        stored = await store.get(self._key)
        self._owner.lease.read(stored, self._boot_s(), self._era())

    async def _write(self, store: AsyncObjectStore, step: Write) -> None:
        text = msgspec.json.encode(step.value).decode()
        self._owner.lease.write_sent(step, self._boot_s())
        if step.revision is None:
            stored = await store.create(self._key, text)
        else:
            stored = await store.replace(self._key, text, step.revision)
        self._owner.write_confirmed(stored, self._boot_s())

    async def _pause(self, pause_s: float) -> None:
        """Wait for the time or for a prompt, which may have come already."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._prompted.wait()
        self._prompted.clear()

    def _note_change(self) -> None:
        is_held = self.is_owner
        if is_held is self._was_held:
            return
        self._was_held = is_held
        event = 'quota.owner' if is_held else 'quota.lease_lost'
        self._observer.note(
            event, key=self._key, holder=self._owner.lease.holder
        )
