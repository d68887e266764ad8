"""Token bucket for a target that bounds its requests a second.

A target that has slots left may still bound the rate of its requests. Each
request that is sent to it takes a token; tokens come at the rate.
"""

import math

import msgspec

# Refills are sums of rounded numbers.
_WHOLE_TOKEN = 1 - 1e-9


class RateLimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a token bucket.

    The bucket holds the tokens of ``burst_s`` seconds, but at least one.
    ``min_rate_per_s`` is granted at any limit, because only answers of the
    target tell that its limit has changed.
    """

    burst_s: float = 0.5
    min_rate_per_s: float = 0.5


class RateLimit:
    """Tokens of one target; without a limit there is always a token.

    A new limit starts with an empty bucket.
    """

    def __init__(self, *, settings: RateLimitSettings | None = None) -> None:
        self._settings = settings or RateLimitSettings()
        self._rate_per_s = math.inf
        self._tokens = float(0)
        self._refilled_s = float(0)

    @property
    def is_limited(self) -> bool:
        """Return whether there is a limit."""
        return math.isfinite(self._rate_per_s)

    @property
    def rate_per_s(self) -> float:
        """Return the tokens a second, infinite without a limit."""
        return self._rate_per_s

    @property
    def interval_s(self) -> float:
        """Return the time between two tokens, 0 without a limit."""
        return 1 / self._rate_per_s

    def set_rate(self, limit_per_s: float | None, now_s: float) -> None:
        """Set the limit; ``None`` removes it."""
        self.refill(now_s)
        if limit_per_s is None:
            self._rate_per_s = math.inf
            self._tokens = 0
            return
        self._rate_per_s = max(limit_per_s, self._settings.min_rate_per_s)
        self._tokens = min(self._tokens, self._capacity())

    def refill(self, now_s: float) -> None:
        """Add the tokens since the last refill."""
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        if self.is_limited:
            earned = elapsed_s * self._rate_per_s
            self._tokens = min(self._tokens + earned, self._capacity())

    def has_token(self) -> bool:
        """Return whether there was a token at the last refill."""
        return not self.is_limited or self._tokens >= _WHOLE_TOKEN

    def take(self) -> None:
        """Take a token."""
        if self.is_limited:
            self._tokens -= 1

    def wait_s(self, ahead: int) -> float:
        """Return the time until the token of a request behind ``ahead``."""
        return max(0, ahead + 1 - self._tokens) * self.interval_s

    def _capacity(self) -> float:
        return max(1, self._rate_per_s * self._settings.burst_s)
