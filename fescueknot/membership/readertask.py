"""The reader task: reads the store when it is this node's duty."""

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
from fescueknot.membership.task_start import start_logged

IDLE_S = 0.5
SHORTEST_PERIOD_S = 0.2
NOTHING_READ = -1
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0
_EXPONENT_LIMIT = 10
_log = logging.getLogger('fescueknot.reader')


class ReaderTask:
    """Follows the store and hands readings to the gossip task.

    The first reading, and one after the store has forgotten changes, is a
    whole copy; the others are watches that end soon.
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
        return start_logged(executor, 'reader', self._run)

    def stop(self) -> None:
        """End after the call that is under way."""
        self._stopped.set()

    def step(self) -> float:
        """Read once if that is the duty; return the pause after it."""
        read_mode = self._published.status.read_mode
        if read_mode is ReadMode.NONE:
            return IDLE_S
        try:
            reading = self._read()
        except FeedError as error:
            return self._fail(error)
        self._recover()
        self._cursor = reading.transfer.upto
        self._gossip.put(ApplyReading(reading=reading))
        if read_mode is ReadMode.ONCE or reading.transfer.is_whole:
            return IDLE_S
        spent_s = self._clock.monotonic_s() - reading.asked_at_s
        return max(0, SHORTEST_PERIOD_S - spent_s)

    def _run(self) -> None:
        pause_s: float = 0
        while not self._stopped.wait(pause_s):
            pause_s = self.step()

    def _read(self) -> Reading:
        asked_at_s = self._clock.monotonic_s()
        cursor = max(
            self._cursor, self._published.status.cursor or NOTHING_READ
        )
        if cursor < 0:
            return self._feed.copy(asked_at_s=asked_at_s)
        try:
            return self._feed.follow(after=cursor, asked_at_s=asked_at_s)
        except FeedCompactedError:
            _log.info('reader: changes are forgotten, reading everything')
            return self._feed.copy(asked_at_s=asked_at_s)

    def _recover(self) -> None:
        if self._failures:
            _log.info('reader: the store gives readings again')
        self._failures = 0

    def _fail(self, error: FeedError) -> float:
        self._failures = min(self._failures + 1, _EXPONENT_LIMIT)
        if self._failures == 1:
            _log.warning('reader: the store gives no reading: %s', error)
        longest_s = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        return longest_s * self._rng.uniform(0.5, 1)
