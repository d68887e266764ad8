"""Waits between attempts."""

import random

import msgspec


class Backoff(msgspec.Struct, frozen=True, kw_only=True):
    """Exponential back-off with full jitter.

    The wait is uniform between 0 and an upper bound that grows from ``base_s``
    by ``factor`` per attempt, up to ``max_s``. Full jitter spreads clients
    best, as shown in the AWS architecture blog, 2015.
    """

    base_s: float = 0.02
    factor: float = 2
    max_s: float = 1

    def wait_s(self, attempts: int, rng: random.Random) -> float:
        """Return the wait after ``attempts`` attempts (at least 1)."""
        grown_s = self.base_s * self.factor ** (attempts - 1)
        return rng.uniform(0, min(self.max_s, grown_s))
