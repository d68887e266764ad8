"""Writing rosters to the store, batched by bucket."""

import collections
import logging
import queue
import random
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future

import msgspec

from fescueknot.membership.errors import MembershipError, RosterWriteError
from fescueknot.membership.rosterbatch import (
    RosterWriteResult,
    confirmed_results,
    plan_batch,
)
from fescueknot.membership.rosters import (
    BUCKET_COUNT,
    RosterBucket,
    bucket_key,
    decode_bucket,
    encode_bucket,
)
from fescueknot.membership.task_start import start_task
from fescueknot.objectapi.errors import (
    Conflict,
    NotFound,
    ObjectApiError,
    OutcomeUnknown,
    RateLimited,
)
from fescueknot.objectapi.messages import StoredObject
from fescueknot.objectapi.store import ObjectStore
from fescueknot.roster import Roster

BASE_DELAY_S = 0.05
MAX_DELAY_S = 5.0
MAX_SPREAD_S = 30.0
MAX_ATTEMPTS = 12
_RETRIED_ERRORS = (Conflict, NotFound, OutcomeUnknown)
_log = logging.getLogger('fescueknot.roster')


class _PendingWrite(msgspec.Struct, frozen=True, kw_only=True):
    roster: Roster
    future: Future


class RosterWriter:
    """Task that writes rosters one bucket at a time, until :meth:`stop`.

    Each attempt, a read and a write, is followed by a delay that grows with
    each failure, so that one node makes few attempts a second. ``wait``
    sleeps for a number of seconds; the default also returns at the stop.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        rng: random.Random,
        bucket_count: int = BUCKET_COUNT,
        wait: Callable[[float], object] | None = None,
    ) -> None:
        self._store = store
        self._rng = rng
        self._bucket_count = bucket_count
        self._queue: queue.SimpleQueue[_PendingWrite | None] = (
            queue.SimpleQueue()
        )
        self._stopped = threading.Event()
        self._wait = wait or self._stopped.wait

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``; the future ends with the task."""
        return start_task(executor, 'roster', self._run)

    def stop(self) -> None:
        """Stop the task; queued writes fail."""
        self._stopped.set()
        self._queue.put(None)

    def submit(self, roster: Roster) -> 'Future[RosterWriteResult]':
        """Queue a roster to be written if the store holds the version before.

        The future fails with ``RosterWriteError`` when the outcome is still
        unknown after :data:`MAX_ATTEMPTS` attempts. The roster may have been
        written then; read it back to find out.
        """
        future: Future[RosterWriteResult] = Future()
        self._queue.put(_PendingWrite(roster=roster, future=future))
        return future

    def write(
        self, key: str, wanted: dict[str, Roster]
    ) -> dict[str, RosterWriteResult]:
        """Write rosters of one bucket and return the results by service."""
        results: dict[str, RosterWriteResult] = {}
        for attempt in range(MAX_ATTEMPTS):
            pending = {
                service: roster
                for service, roster in wanted.items()
                if service not in results
            }
            if not pending:
                break
            self._wait(self.attempt(key, pending, results, attempt))
            if self._stopped.is_set():
                break
        return results

    def attempt(
        self,
        key: str,
        pending: dict[str, Roster],
        results: dict[str, RosterWriteResult],
        attempt: int,
    ) -> float:
        """Make one attempt and add its results to ``results``.

        Returns the delay before the next attempt, in seconds.
        """
        try:
            results.update(self._write_once(key, pending))
        except _RETRIED_ERRORS as error:
            _log.info('roster: write of %s not confirmed: %s', key, error)
        except RateLimited as error:
            return self._rate_limit_delay_s(error.retry_after_s, attempt)
        except (ObjectApiError, MembershipError) as error:
            _log.warning('roster: %s is not written: %s', key, error)
        return self._backoff_s(attempt)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, writes in self._next_batches().items():
                self._write_batch(key, writes)

    def _next_batches(self) -> dict[str, list[_PendingWrite]]:
        """Wait for a queued write and return all queued writes by bucket.

        The second of two writes for one service is put back and ends the
        batch.
        """
        batches: dict[str, list[_PendingWrite]] = collections.defaultdict(list)
        write = self._queue.get()
        seen_services: set[str] = set()
        while write is not None and write.roster.service not in seen_services:
            seen_services.add(write.roster.service)
            key = bucket_key(
                write.roster.service, bucket_count=self._bucket_count
            )
            batches[key].append(write)
            if self._queue.empty():
                return batches
            write = self._queue.get()
        if write is not None:
            self._queue.put(write)
        return batches

    def _write_batch(self, key: str, writes: list[_PendingWrite]) -> None:
        wanted = {write.roster.service: write.roster for write in writes}
        results = self.write(key, wanted)
        for write in writes:
            result = results.get(write.roster.service)
            if result is None:
                message = f'no result for roster {write.roster.service}'
                write.future.set_exception(RosterWriteError(message))
            else:
                write.future.set_result(result)

    def _write_once(
        self, key: str, pending: dict[str, Roster]
    ) -> dict[str, RosterWriteResult]:
        present = _read(self._store, key)
        stored = decode_bucket(present.value if present else None)
        batch = plan_batch(stored, pending)
        if batch.bucket is None:
            return batch.results
        _write(self._store, key, present, batch.bucket)
        return batch.results | confirmed_results(batch.bucket, pending)

    def _rate_limit_delay_s(self, retry_after_s: float, attempt: int) -> float:
        """Return a delay after a rate limit, with jitter.

        The jitter grows with each attempt, to spread many refused writers.
        """
        max_delay_s = min(MAX_SPREAD_S, retry_after_s * 2**attempt)
        return retry_after_s + max_delay_s * self._rng.random()

    def _backoff_s(self, attempt: int) -> float:
        max_delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2**attempt)
        return max_delay_s * self._rng.uniform(0.5, 1)


def _read(store: ObjectStore, key: str) -> StoredObject | None:
    try:
        return store.get(key)
    except NotFound:
        return None


def _write(
    store: ObjectStore,
    key: str,
    present: StoredObject | None,
    bucket: RosterBucket,
) -> None:
    content = encode_bucket(bucket)
    if present is None:
        store.create(key, content)
    else:
        store.update(key, content, present.version)
