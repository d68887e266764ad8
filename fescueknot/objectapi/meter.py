"""Counts the calls to a store and limits their rates."""

import contextlib
import threading
from collections.abc import Iterator

import msgspec

from fescueknot.clock import Clock
from fescueknot.objectapi.errors import RateLimited


class StoreLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limits of a store; zero means no limit."""

    reads_per_s: float = 0
    writes_per_s: float = 0


class CallCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Calls since the last reset; watches are counted at their start."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0
    waiting_watches: int = 0
    elapsed_s: float = 0


class TokenBucket:
    """Allows ``rate_per_s`` calls per second, in bursts of up to that many."""

    def __init__(self, *, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._filled_at_s = now_s

    def take(self, *, now_s: float) -> bool:
        """Take a token; return ``False`` if there is none."""
        if not self._rate_per_s:
            return True
        new_tokens = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + new_tokens)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CallMeter:
    """Counters and rate limits of one store; watches are limited as reads."""

    def __init__(
        self, *, clock: Clock, limits: StoreLimits | None = None
    ) -> None:
        limits = limits or StoreLimits()
        now_s = clock.monotonic_s()
        self._clock = clock
        self._lock = threading.Lock()
        self._reads = TokenBucket(rate_per_s=limits.reads_per_s, now_s=now_s)
        self._writes = TokenBucket(rate_per_s=limits.writes_per_s, now_s=now_s)
        self._reset_at_s = now_s
        self._counters = CallCounters()

    def counters(self) -> CallCounters:
        """Return the counters since the last reset."""
        with self._lock:
            elapsed_s = self._clock.monotonic_s() - self._reset_at_s
            return msgspec.structs.replace(self._counters, elapsed_s=elapsed_s)

    def reset(self) -> None:
        """Reset the counters, except the number of waiting watches."""
        with self._lock:
            waiting = self._counters.waiting_watches
            self._counters = CallCounters(waiting_watches=waiting)
            self._reset_at_s = self._clock.monotonic_s()

    def count_read(self) -> None:
        """Count a read; raise ``RateLimited`` above the rate limit."""
        self._admit(self._reads, CallCounters(reads=1))

    def count_write(self) -> None:
        """Count a write; raise ``RateLimited`` above the rate limit."""
        self._admit(self._writes, CallCounters(writes=1))

    @contextlib.contextmanager
    def waiting_watch(self) -> Iterator[None]:
        """Count a watch, as waiting until the context ends.

        Raises ``RateLimited`` above the rate limit of reads.
        """
        self._admit(self._reads, CallCounters(watches=1, waiting_watches=1))
        with contextlib.ExitStack() as stack:
            stack.callback(self._count, CallCounters(waiting_watches=-1))
            yield

    def _admit(self, bucket: TokenBucket, increment: CallCounters) -> None:
        with self._lock:
            admitted = bucket.take(now_s=self._clock.monotonic_s())
        if not admitted:
            self._count(CallCounters(refused=1))
            raise RateLimited('too many calls')
        self._count(increment)

    def _count(self, increment: CallCounters) -> None:
        with self._lock:
            counters = self._counters
            self._counters = CallCounters(
                reads=counters.reads + increment.reads,
                writes=counters.writes + increment.writes,
                watches=counters.watches + increment.watches,
                refused=counters.refused + increment.refused,
                waiting_watches=counters.waiting_watches
                + increment.waiting_watches,
            )
