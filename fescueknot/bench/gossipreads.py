"""How many calls of the store its readers make."""

import math

import msgspec

from fescueknot.bench.gossipfleets import announcement, places
from fescueknot.bench.gossipload import (
    RESTARTS_PER_DAY,
    ROSTER_WRITES_PER_RESTART,
    RULE_CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    WATCH_S,
)
from fescueknot.clock import ManualClock
from fescueknot.membership.commands import Command, CommandSink
from fescueknot.membership.feeds import StoreFeed
from fescueknot.membership.published import (
    MembershipStatus,
    PublishedMembership,
)
from fescueknot.membership.readers import (
    FALLBACK_READS_PER_S,
    READERS_PER_DOMAIN,
    ReadMode,
)
from fescueknot.membership.readertask import ReaderTask
from fescueknot.objectapi.errors import Unavailable
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.messages import Listing, WatchBatch
from fescueknot.randomness import seeded

DOMAINS = 13
MEASURED_S = 600
_CALL_S = 0.003


class ReaderCalls(msgspec.Struct, frozen=True, kw_only=True):
    """Calls a second: of one reader, of all, and with the fallback reads.

    A fallback read follows each prefix once, as a reader without changes.
    """

    situation: str
    calls_per_s: float
    fleet_calls_per_s: float
    fleet_with_fallback_per_s: float


class PacedStore(MemoryStore):
    """A store whose watches let the clock run, and that counts its calls."""

    def __init__(
        self, *, clock: ManualClock, period_s: float, is_down: bool
    ) -> None:
        super().__init__()
        self._clock = clock
        self._period_s = period_s
        self._next_s = period_s
        self._is_down = is_down
        self.calls = 0

    def list(self, prefix: str) -> Listing:
        """List at once."""
        self._call()
        return super().list(prefix)

    def watch(
        self, prefix: str, since_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Wait on the clock until the next write or the time-out."""
        self._call()
        batch = super().watch(prefix, since_revision, 0)
        if batch.events or not timeout_s:
            return batch
        until_s = self._clock.monotonic_s() + timeout_s
        woken_s = min(until_s, max(self._next_s, self._clock.monotonic_s()))
        self._clock.advance(seconds_s=woken_s - self._clock.monotonic_s())
        if woken_s >= self._next_s:
            self._next_s += self._period_s
            self.create(f'rules/log/{woken_s}', 'changed')
        return super().watch(prefix, since_revision, 0)

    def _call(self) -> None:
        self.calls += 1
        self._clock.advance(seconds_s=_CALL_S)
        if self._is_down:
            raise Unavailable('store is down')


class _Sink(CommandSink):
    """Takes the reader's commands in place of the gossip task."""

    def put(self, command: Command) -> None:
        """Drop a command."""


def measure_reads() -> list[ReaderCalls]:
    """Run one reader in three situations."""
    writes = RESTARTS_PER_DAY * ROSTER_WRITES_PER_RESTART
    period_s = SECONDS_PER_DAY / (RULE_CHANGES_PER_DAY + writes)
    return [
        _measure('quiet', period_s=math.inf),
        _measure('planned changes', period_s=period_s),
        _measure('store down', period_s=math.inf, is_down=True),
    ]


def _measure(
    situation: str, *, period_s: float, is_down: bool = False
) -> ReaderCalls:
    clock = ManualClock()
    store = PacedStore(clock=clock, period_s=period_s, is_down=is_down)
    feed = StoreFeed(store=store, wait_s=WATCH_S)
    published = PublishedMembership(own=announcement(0, place=_somewhere()))
    published.status = MembershipStatus(
        own=published.status.own, read_mode=ReadMode.STEADY
    )
    reader = ReaderTask(
        feed=feed,
        published=published,
        gossip=_Sink(),
        clock=clock,
        rng=seeded(seed=1),
    )
    while clock.monotonic_s() < MEASURED_S:
        clock.advance(seconds_s=reader.step())
    calls_per_s = store.calls / MEASURED_S
    fleet_per_s = calls_per_s * DOMAINS * READERS_PER_DOMAIN
    fallback_per_s = FALLBACK_READS_PER_S * 2
    return ReaderCalls(
        situation=situation,
        calls_per_s=round(calls_per_s, 2),
        fleet_calls_per_s=round(fleet_per_s, 1),
        fleet_with_fallback_per_s=round(fleet_per_s + fallback_per_s, 1),
    )


def _somewhere():
    return places(regions=1, domains=1)[0]
