"""Fault injection for object stores."""

import enum
import random
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from fescueknot.objectapi.errors import (
    Compacted,
    NotFound,
    OutcomeUnknown,
    RateLimited,
    Unavailable,
)
from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch
from fescueknot.objectapi.store import ObjectStore
from fescueknot.randomness import seeded

_WriteResult = TypeVar('_WriteResult')
_MS_PER_S = 1000


class WatchFault(enum.StrEnum):
    """A fault of watches."""

    NONE = 'none'
    CLOSED = 'closed'
    SILENT = 'silent'
    COMPACTED = 'compacted'


class FaultPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The injected faults; the default plan has none.

    ``lost_answers_ratio`` is the fraction of writes that take effect but lose
    their response, ``lost_writes_ratio`` the fraction of writes that lose
    their response without taking effect. With ``stale_reads``, reads return
    the state at the time when the plan was set. ``prefix`` limits the plan to
    keys that start with it. A silent watch returns no event and fails after
    its time-out.
    """

    down: bool = False
    delay_ms: int = 0
    rate_limited: bool = False
    retry_after_s: float = 1
    lost_answers_ratio: float = 0
    lost_writes_ratio: float = 0
    watches: WatchFault = WatchFault.NONE
    stale_reads: bool = False
    prefix: str = ''


class FaultyStore(ObjectStore):
    """Wraps a store and injects the faults of the current plan."""

    def __init__(
        self,
        *,
        inner: ObjectStore,
        plan: FaultPlan | None = None,
        random_source: random.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._inner = inner
        self._random = random_source or seeded(seed=0)
        self._sleep = sleep
        self._lock = threading.Lock()
        self._plan = FaultPlan()
        self._stale_listing = Listing(objects=(), revision=0)
        self.set_plan(plan or FaultPlan())

    def set_plan(self, plan: FaultPlan) -> None:
        """Replace the injected faults."""
        with self._lock:
            if plan.stale_reads and not self._plan.stale_reads:
                self._stale_listing = self._inner.list('')
            self._plan = plan

    @property
    def plan(self) -> FaultPlan:
        """The injected faults."""
        with self._lock:
            return self._plan

    def get(self, key: str) -> StoredObject:
        """Return the object, maybe a stale one; raise ``NotFound``."""
        if not self._apply_plan(key).stale_reads:
            return self._inner.get(key)
        for stored in self._stale_listing.objects:
            if stored.key == key:
                return stored
        raise NotFound(f'{key} does not exist')

    def list(self, prefix: str) -> Listing:
        """Return all objects under ``prefix``, maybe stale ones."""
        if not self._apply_plan(prefix).stale_reads:
            return self._inner.list(prefix)
        found = tuple(
            stored
            for stored in self._stale_listing.objects
            if stored.key.startswith(prefix)
        )
        return Listing(objects=found, revision=self._stale_listing.revision)

    def create(self, key: str, value: str) -> StoredObject:
        """Write a new object, unless the write or its response is lost."""
        return self._write(key, lambda: self._inner.create(key, value))

    def update(self, key: str, value: str, version: int) -> StoredObject:
        """Replace the object, unless the write or its response is lost."""
        return self._write(key, lambda: self._inner.update(key, value, version))

    def delete(self, key: str, version: int) -> None:
        """Remove the object, unless the write or its response is lost."""
        self._write(key, lambda: self._inner.delete(key, version))

    def watch(
        self, prefix: str, since_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Watch the wrapped store, or fail according to the plan."""
        plan = self._apply_plan(prefix)
        if plan.watches is WatchFault.CLOSED:
            raise Unavailable('watch closed')
        if plan.watches is WatchFault.COMPACTED:
            raise Compacted(f'revision {since_revision} is compacted')
        if plan.watches is WatchFault.SILENT:
            self._sleep(timeout_s)
            raise Unavailable('watch silent')
        if plan.stale_reads:
            self._sleep(timeout_s)
            return WatchBatch(events=(), revision=since_revision)
        return self._inner.watch(prefix, since_revision, timeout_s)

    def _apply_plan(self, key: str) -> FaultPlan:
        plan = self.plan
        if not key.startswith(plan.prefix):
            return FaultPlan()
        if plan.delay_ms:
            self._sleep(plan.delay_ms / _MS_PER_S)
        if plan.down:
            raise Unavailable('store is down')
        if plan.rate_limited:
            raise RateLimited(
                'too many calls', retry_after_s=plan.retry_after_s
            )
        return plan

    def _write(
        self, key: str, write: Callable[[], _WriteResult]
    ) -> _WriteResult:
        plan = self._apply_plan(key)
        if self._happens(plan.lost_writes_ratio):
            raise OutcomeUnknown(f'answer for {key} lost')
        written = write()
        if self._happens(plan.lost_answers_ratio):
            raise OutcomeUnknown(f'answer for {key} lost')
        return written

    def _happens(self, ratio: float) -> bool:
        with self._lock:
            return ratio > 0 and self._random.random() < ratio
