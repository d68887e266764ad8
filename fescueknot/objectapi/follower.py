"""Follows the objects of one kind: lists them, then watches for changes."""

import abc
import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from fescueknot.clock import elapsed_s
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import Compacted, ObjectApiError
from fescueknot.objectapi.messages import Change, Listing, WatchBatch

# The store's clock may run faster than the local one by this ratio.
_CLOCK_DRIFT_RATIO = 0.01


class FollowerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of a follower, in seconds.

    ``wait_s`` is the time-out of a watch. ``gather_s`` is the pause between
    two watches, in which changes gather so that many changes cost few calls;
    :meth:`Follower.end_gathering` shortens it to ``min_gather_s``. After a
    failure, the back-off starts at ``first_retry_s`` and doubles up to
    ``max_retry_s``. ``stale`` reads are cheaper; their results may be some
    seconds old.
    """

    wait_s: float = 25
    gather_s: float = 0.2
    min_gather_s: float = 0.1
    first_retry_s: float = 0.25
    max_retry_s: float = 1.5
    stale: bool = False


class Subscriber(abc.ABC):
    """Receives the results of a follower's reads."""

    @abc.abstractmethod
    def apply_listing(self, listing: Listing) -> None:
        """Replace the state by all objects of the kind."""

    @abc.abstractmethod
    def apply_changes(self, changes: tuple[Change, ...], revision: int) -> None:
        """Apply the changes up to ``revision`` since the last call."""

    @abc.abstractmethod
    def record_unreadable(self, count: int) -> None:
        """Record that a read has left out objects that can't be decoded."""

    @abc.abstractmethod
    def record_failure(self, error: ObjectApiError) -> None:
        """Record that a call to the store failed."""


class Follower:
    """Keeps a subscriber up to date; runs until it is cancelled.

    ``on_fresh_read`` is called after each read that is not stale, with the
    time (:func:`~fescueknot.clock.elapsed_s`) up to which it has shown all
    changes: that at which the read was sent, or nearly the end of a watch that
    has waited in vain.
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
        self.kind = kind
        self._store = store
        self._subscriber = subscriber
        self._rng = rng
        self._settings = settings or FollowerSettings()
        self._on_fresh_read = on_fresh_read or _ignore
        self._retry_s = self._settings.first_retry_s
        self._list_requested = asyncio.Event()
        self._gathering_ended = asyncio.Event()

    def end_gathering(self) -> None:
        """Shorten the pause between two watches to ``min_gather_s``.

        Called if a value read earlier turned out to be out of date.
        """
        self._gathering_ended.set()

    def list_now(self) -> None:
        """List again at once.

        Called if another source has a newer revision than the follower.
        """
        self._list_requested.set()

    async def run(self) -> None:
        """List and watch until cancelled; retry after failures."""
        while True:
            try:
                await self._list_and_watch()
            except Compacted:
                continue
            except ObjectApiError as error:
                self._subscriber.record_failure(error)
                await self._back_off()

    async def read(self) -> None:
        """List once; retry until a listing succeeds."""
        while not await self.try_read():
            await self._back_off()

    async def try_read(self) -> bool:
        """List once; return whether that succeeded."""
        try:
            await self._list()
        except ObjectApiError as error:
            self._subscriber.record_failure(error)
            return False
        return True

    async def _back_off(self) -> None:
        """Wait before the next attempt: exponential back-off with jitter."""
        await asyncio.sleep(self._retry_s * self._rng.uniform(0.5, 1))
        doubled_s = self._retry_s * 2
        self._retry_s = min(doubled_s, self._settings.max_retry_s)

    async def _list_and_watch(self) -> None:
        """List, then watch until a listing is requested or a call fails."""
        self._list_requested.clear()
        revision = await self._list()
        while not self._list_requested.is_set():
            sent_s = elapsed_s()
            watch = asyncio.ensure_future(self._watch(revision))
            batch = await self._unless_list_requested(watch)
            if batch is None:
                return
            revision = batch.revision
            self._subscriber.record_unreadable(batch.unreadable)
            self._subscriber.apply_changes(batch.events, revision)
            self._report_fresh_read(sent_s + self._waited_s(batch, sent_s))
            await self._gather()

    async def _list(self) -> int:
        """List the objects; return the revision of the listing."""
        sent_s = elapsed_s()
        listing = await self._store.list(self.kind, stale=self._settings.stale)
        self._retry_s = self._settings.first_retry_s
        self._subscriber.record_unreadable(listing.unreadable)
        self._subscriber.apply_listing(listing)
        self._report_fresh_read(sent_s)
        return listing.revision

    async def _watch(self, revision: int) -> WatchBatch:
        return await self._store.watch(
            self.kind,
            revision,
            self._settings.wait_s,
            stale=self._settings.stale,
        )

    def _waited_s(self, batch: WatchBatch, sent_s: float) -> float:
        """Return how long a watch has seen no change at the store.

        The store ends a watch without events only after the whole wait.
        """
        took_s = elapsed_s() - sent_s
        if batch.events or took_s < self._settings.wait_s:
            return 0
        return self._settings.wait_s * (1 - _CLOCK_DRIFT_RATIO)

    def _report_fresh_read(self, sent_s: float) -> None:
        if not self._settings.stale:
            self._on_fresh_read(sent_s)

    async def _gather(self) -> None:
        """Pause so that changes gather, until :meth:`end_gathering`."""
        self._gathering_ended.clear()
        gather_s = self._settings.gather_s
        min_s = min(self._settings.min_gather_s, gather_s)
        await asyncio.sleep(min_s)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._gathering_ended.wait(), gather_s - min_s
            )

    async def _unless_list_requested(self, watch):
        list_request = asyncio.ensure_future(self._list_requested.wait())
        try:
            await asyncio.wait(
                (watch, list_request), return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            list_request.cancel()
            watch.cancel()


def _ignore(sent_s: float) -> None:
    """Ignore the time of a read."""
