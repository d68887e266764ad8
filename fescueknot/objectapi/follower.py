"""Following the objects of one kind: list them, then watch for changes."""

import abc
import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import Compacted, ObjectApiError
from fescueknot.objectapi.messages import Change, Listing, WatchBatch


class FollowerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Paces of a follower, in seconds.

    ``wait_s`` is how long a watch waits, ``gather_s`` the pause between two
    watches in which changes gather, so that many changes cost few calls, and
    ``hurried_gather_s`` the pause when somebody is in need of news. ``stale``
    reads are cheaper and may be some seconds old.
    """

    wait_s: float = 25
    gather_s: float = 0.2
    hurried_gather_s: float = 0.1
    first_retry_s: float = 0.25
    longest_retry_s: float = 1.5
    stale: bool = False


class Subscriber(abc.ABC):
    """Takes what a follower has read."""

    @abc.abstractmethod
    def apply_listing(self, listing: Listing) -> None:
        """Take all objects."""

    @abc.abstractmethod
    def apply_changes(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take the changes since the last call."""

    @abc.abstractmethod
    def record_failure(self, error: ObjectApiError) -> None:
        """Take notice that a call failed."""


class Follower:
    """Keeps a subscriber up to date; runs until it is cancelled.

    ``confirm`` is told, after each answer that isn't stale, the loop time at
    which it was asked for.
    """

    def __init__(
        self,
        *,
        store: AsyncObjectStore,
        kind: str,
        subscriber: Subscriber,
        rng: random.Random,
        settings: FollowerSettings | None = None,
        on_fresh_read: Callable[[float], None] | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._subscriber = subscriber
        self._rng = rng
        self._settings = settings or FollowerSettings()
        self._confirm = on_fresh_read or _nobody
        self._retry_s = self._settings.first_retry_s
        self._nudged = asyncio.Event()
        self._hurried = asyncio.Event()

    def hurry(self) -> None:
        """End the pause between two watches: something read was outdated."""
        self._hurried.set()

    def nudge(self) -> None:
        """Read now: somebody has seen something newer."""
        self._nudged.set()

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._follow()
            except Compacted:
                continue
            except ObjectApiError as error:
                self._subscriber.record_failure(error)
                await self._pause()

    async def read(self) -> None:
        """List once, as often as it takes."""
        while True:
            try:
                await self._list()
            except ObjectApiError as error:
                self._subscriber.record_failure(error)
                await self._pause()
            else:
                return

    async def _pause(self) -> None:
        """Wait before the next try, longer after each failure in a row."""
        await asyncio.sleep(self._retry_s * self._rng.uniform(0.5, 1))
        doubled_s = self._retry_s * 2
        self._retry_s = min(doubled_s, self._settings.longest_retry_s)

    async def _follow(self) -> None:
        """List, then watch until a nudge or an error."""
        self._nudged.clear()
        revision = await self._list()
        while not self._nudged.is_set():
            asked_s = asyncio.get_running_loop().time()
            watching = asyncio.ensure_future(self._watch(revision))
            batch = await self._unless_nudged(watching)
            if batch is None:
                return
            revision = batch.revision
            self._subscriber.apply_changes(batch.events, revision)
            self._confirmed(asked_s)
            await self._gather()

    async def _list(self) -> int:
        """List; return the revision of the listing."""
        asked_s = asyncio.get_running_loop().time()
        listing = await self._store.list(self._kind, stale=self._settings.stale)
        self._retry_s = self._settings.first_retry_s
        self._subscriber.apply_listing(listing)
        self._confirmed(asked_s)
        return listing.revision

    async def _watch(self, revision: int) -> WatchBatch:
        return await self._store.watch(
            self._kind,
            revision,
            self._settings.wait_s,
            stale=self._settings.stale,
        )

    def _confirmed(self, asked_s: float) -> None:
        if not self._settings.stale:
            self._confirm(asked_s)

    async def _gather(self) -> None:
        """Let changes gather, for a shorter time if somebody hurries."""
        self._hurried.clear()
        gather_s = self._settings.gather_s
        shortest_s = min(self._settings.hurried_gather_s, gather_s)
        await asyncio.sleep(shortest_s)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._hurried.wait(), gather_s - shortest_s)

    async def _unless_nudged(self, watching):
        nudge = asyncio.ensure_future(self._nudged.wait())
        try:
            await asyncio.wait(
                (watching, nudge), return_when=asyncio.FIRST_COMPLETED
            )
            return watching.result() if watching.done() else None
        finally:
            nudge.cancel()
            watching.cancel()


def _nobody(asked_s: float) -> None:
    """Tell nobody."""
