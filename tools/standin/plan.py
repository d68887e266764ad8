"""What callers send: streams of requests and how they retry."""

import msgspec


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one kind at a mean rate, in an open loop.

    ``label`` is the row of the result. During the surge the rate is
    multiplied by ``surge_factor``.
    """

    label: str
    service: str
    path: str
    rate_per_s: float
    method: str = 'GET'
    keyed: bool = False
    timeout_ms: int = 2_000
    surge_factor: float = 1


class RetryHabit(msgspec.Struct, frozen=True, kw_only=True):
    """How a caller retries.

    A hard retry comes ``pause_s`` after the failure, whatever the answer
    says; ``honours_retry_after`` waits as told.
    """

    attempts: int = 1
    pause_s: float = 0.05
    honours_retry_after: bool = True


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A whole run of callers.

    ``routes`` maps a service to the addresses that take its calls, used in
    turn. The surge lasts from ``surge_start_s`` to ``surge_end_s``.
    """

    streams: tuple[Stream, ...]
    routes: dict[str, tuple[str, ...]]
    duration_s: float
    surge_start_s: float = 0
    surge_end_s: float = 0
    habit: RetryHabit = RetryHabit()
    surge_habit: RetryHabit = RetryHabit()
    seed: int = 1
    workers: int = 256

    def surging(self, at_s: float) -> bool:
        """Return whether the surge is on at ``at_s`` into the run."""
        return self.surge_start_s <= at_s < self.surge_end_s
