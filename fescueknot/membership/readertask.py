"""Reader task: reads the store when this node is a reader."""

import logging
import random
import threading
from concurrent.futures import Executor, Future

from fescueknot.clock import Clock
from fescueknot.membership.commands import ApplyReading, CommandSink
from fescueknot.membership.errors import FeedCompactedError, FeedError
from fescueknot.membership.feeds import Feed, Reading
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.readers import ReadMode
from fescueknot.membership.task_start import start_task

IDLE_PERIOD_S = 0.5
MIN_PERIOD_S = 0.2
NOTHING_READ = -1
BASE_RETRY_S = 0.2
MAX_RETRY_S = 5.0
_MAX_EXPONENT = 10
_log = logging.getLogger('fescueknot.reader')


class ReaderTask:
    """Task that reads the store and passes readings to the gossip task.

    The first reading, and one after the store has compacted changes that this
    node lacks, is a whole copy. Other readings are short watches.
    """

    def __init__(
        self,
        *,
        feed: Feed,
        published: PublishedMembership,
        gossip: CommandSink,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._feed = feed
        self._published = published
        self._gossip = gossip
        self._clock = clock
        self._rng = rng
        self._cursor = NOTHING_READ
        self._failures = 0
        self._stopped = threading.Event()

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``; the future ends with the task."""
        return start_task(executor, 'reader', self._run)

    def stop(self) -> None:
        """Stop the task after the call in progress."""
        self._stopped.set()

    def step(self) -> float:
        """Read the store if the read mode requires it.

        Returns the delay before the next step, in seconds.
        """
        read_mode = self._published.status.read_mode
        if read_mode is ReadMode.NONE:
            return IDLE_PERIOD_S
        try:
            reading = self._read()
        except FeedError as error:
            return self._record_failure(error)
        self._record_success()
        self._cursor = reading.transfer.upto
        self._gossip.put(ApplyReading(reading=reading))
        if read_mode is ReadMode.ONCE or reading.transfer.is_whole:
            return IDLE_PERIOD_S
        elapsed_s = self._clock.monotonic_s() - reading.asked_at_s
        return max(0, MIN_PERIOD_S - elapsed_s)

    def _run(self) -> None:
        delay_s: float = 0
        while not self._stopped.wait(delay_s):
            delay_s = self.step()

    def _read(self) -> Reading:
        asked_at_s = self._clock.monotonic_s()
        cursor = max(
            self._cursor, self._published.status.cursor or NOTHING_READ
        )
        if cursor < 0:
            return self._feed.read_all(asked_at_s=asked_at_s)
        try:
            return self._feed.read_changes(after=cursor, asked_at_s=asked_at_s)
        except FeedCompactedError:
            _log.info('reader: changes were compacted, reading a whole copy')
            return self._feed.read_all(asked_at_s=asked_at_s)

    def _record_success(self) -> None:
        if self._failures:
            _log.info('reader: the store gives readings again')
        self._failures = 0

    def _record_failure(self, error: FeedError) -> float:
        self._failures = min(self._failures + 1, _MAX_EXPONENT)
        if self._failures == 1:
            _log.warning('reader: the store gives no reading: %s', error)
        max_delay_s = min(MAX_RETRY_S, BASE_RETRY_S * 2**self._failures)
        return max_delay_s * self._rng.uniform(0.5, 1)
