"""How long a target works on a request."""

import random

import msgspec


class ServiceTime(msgspec.Struct, frozen=True, kw_only=True):
    """Log-normal service times; slower during a cold start.

    A target that is ``age_s`` old needs ``cold_factor`` times as long at
    first, falling in a line to 1 at ``cold_start_s``.
    """

    median_ms: float
    spread: float = 0.3
    cold_start_s: float = 0
    cold_factor: float = 1

    def draw_s(self, *, age_s: float, source: random.Random) -> float:
        """Return one service time in seconds."""
        jitter = source.lognormvariate(0, self.spread)
        return self.median_ms / 1_000 * jitter * self._slowdown(age_s)

    def _slowdown(self, age_s: float) -> float:
        if age_s >= self.cold_start_s:
            return 1
        left = 1 - age_s / self.cold_start_s
        return 1 + (self.cold_factor - 1) * left
