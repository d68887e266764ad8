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
from fescueknot.membership.rosterbatch import RosterVerdict, confirm, plan
from fescueknot.membership.rosters import (
    BUCKET_COUNT,
    RosterBucket,
    bucket_key,
    decode_bucket,
    encode_bucket,
)
from fescueknot.membership.task_start import start_logged
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

FIRST_DELAY_S = 0.05
LONGEST_DELAY_S = 5.0
LONGEST_SPREAD_S = 30.0
ATTEMPTS_LIMIT = 12
_RETRIED = (Conflict, NotFound, OutcomeUnknown)
_log = logging.getLogger('fescueknot.roster')


class _Wish(msgspec.Struct, frozen=True, kw_only=True):
    roster: Roster
    future: Future


class RosterWriter:
    """A task that writes rosters one bucket at a time, until :meth:`stop`.

    Each attempt, a read and a write, is followed by a pause, which grows with
    each failure, so that one node makes few of them a second. ``wait`` pauses
    for a number of seconds; by default until the stop.
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
        self._wishes: queue.SimpleQueue[_Wish | None] = queue.SimpleQueue()
        self._stopped = threading.Event()
        self._wait = wait or self._stopped.wait

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``; the future ends with the task."""
        return start_logged(executor, 'roster', self._run)

    def stop(self) -> None:
        """End; wishes that are waiting fail."""
        self._stopped.set()
        self._wishes.put(None)

    def submit(self, roster: Roster) -> 'Future[RosterVerdict]':
        """Write a roster if the store holds the version before it.

        The future fails with ``RosterWriteError`` when the store gave no
        answer in :data:`ATTEMPTS_LIMIT` attempts; the roster may be written
        then, which reading it back tells.
        """
        future: Future[RosterVerdict] = Future()
        self._wishes.put(_Wish(roster=roster, future=future))
        return future

    def write(
        self, key: str, wanted: dict[str, Roster]
    ) -> dict[str, RosterVerdict]:
        """Write rosters of one bucket and return the verdicts by service."""
        verdicts: dict[str, RosterVerdict] = {}
        for attempt in range(ATTEMPTS_LIMIT):
            pending = {
                service: roster
                for service, roster in wanted.items()
                if service not in verdicts
            }
            if not pending:
                break
            self._wait(self.attempt(key, pending, verdicts, attempt))
            if self._stopped.is_set():
                break
        return verdicts

    def attempt(
        self,
        key: str,
        pending: dict[str, Roster],
        verdicts: dict[str, RosterVerdict],
        attempt: int,
    ) -> float:
        """Try once and add what is decided to ``verdicts``.

        Returns how long to wait before the next attempt, in seconds.
        """
        try:
            verdicts.update(self._try(key, pending))
        except _RETRIED as error:
            _log.info('roster: %s changed meanwhile: %s', key, error)
        except RateLimited as error:
            return self._spread_s(error.retry_after_s, attempt)
        except (ObjectApiError, MembershipError) as error:
            _log.warning('roster: %s is not written: %s', key, error)
        return self._delay_s(attempt)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, wishes in self._gather().items():
                self._grant(key, wishes)

    def _gather(self) -> dict[str, list[_Wish]]:
        """Wait for a wish and take all that have come, by bucket.

        Of two wishes for one service the second waits for the next round.
        """
        gathered: dict[str, list[_Wish]] = collections.defaultdict(list)
        wish = self._wishes.get()
        services: set[str] = set()
        while wish is not None and wish.roster.service not in services:
            services.add(wish.roster.service)
            key = bucket_key(
                wish.roster.service, bucket_count=self._bucket_count
            )
            gathered[key].append(wish)
            if self._wishes.empty():
                return gathered
            wish = self._wishes.get()
        if wish is not None:
            self._wishes.put(wish)
        return gathered

    def _grant(self, key: str, wishes: list[_Wish]) -> None:
        wanted = {wish.roster.service: wish.roster for wish in wishes}
        verdicts = self.write(key, wanted)
        for wish in wishes:
            verdict = verdicts.get(wish.roster.service)
            if verdict is None:
                message = f'no verdict on the roster of {wish.roster.service}'
                wish.future.set_exception(RosterWriteError(message))
            else:
                wish.future.set_result(verdict)

    def _try(
        self, key: str, pending: dict[str, Roster]
    ) -> dict[str, RosterVerdict]:
        present = _read(self._store, key)
        stored = decode_bucket(present.value if present else None)
        batch = plan(stored, pending)
        if batch.bucket is None:
            return batch.decided
        _write(self._store, key, present, batch.bucket)
        return batch.decided | confirm(batch.bucket, pending)

    def _spread_s(self, retry_after_s: float, attempt: int) -> float:
        """Return a pause that spreads many refused writers ever wider."""
        longest_s = min(LONGEST_SPREAD_S, retry_after_s * 2**attempt)
        return retry_after_s + longest_s * self._rng.random()

    def _delay_s(self, attempt: int) -> float:
        longest_s = min(LONGEST_DELAY_S, FIRST_DELAY_S * 2**attempt)
        return longest_s * self._rng.uniform(0.5, 1)


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
