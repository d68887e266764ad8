"""Retry-After of refused requests.

Retries are spread over an interval that grows with the ratio of the refusal
rate to the capacity, so that the target can serve the retries. The point
inside the interval is a hash of the root id: clients that are refused at the
same time do not retry at the same time.
"""

import zlib

_MIN_SPREAD_S = 1.0
_MAX_SPREAD_S = 30.0
_MIN_RETRY_AFTER_S = 0.5
_PREVIOUS_WEIGHT = 0.8
_HASH_RANGE = 1 << 32
_SALT = b'return'
_WINDOW_S = 0.5


class RetryAfterSpread:
    """The interval over which retries of refused requests are spread."""

    def __init__(self) -> None:
        self._refusals = 0
        self._updated_s = float(0)
        self._spread_s = _MIN_SPREAD_S

    def count_refusal(self, root_id: str) -> float:
        """Count a refused request and return its Retry-After in seconds."""
        self._refusals += 1
        fraction = zlib.crc32(root_id.encode(), zlib.crc32(_SALT)) / _HASH_RANGE
        return _MIN_RETRY_AFTER_S + fraction * self._spread_s

    def update(self, capacity_per_s: float, now_s: float) -> None:
        """Update the interval from the refusals since the last update."""
        elapsed_s = now_s - self._updated_s
        if capacity_per_s > 0 and elapsed_s > 0:
            measured_s = self._refusals / elapsed_s / capacity_per_s * 2
            smoothed_s = self._spread_s * _PREVIOUS_WEIGHT + measured_s * (
                1 - _PREVIOUS_WEIGHT
            )
            bounded_s = min(_MAX_SPREAD_S, smoothed_s)
            self._spread_s = max(_MIN_SPREAD_S, bounded_s)
        self._refusals = 0
        self._updated_s = now_s


class EntryRetryAfter:
    """Retry-After at the entry, where the admitted rate is the capacity."""

    def __init__(self) -> None:
        self._retry_after = RetryAfterSpread()
        self._admitted = 0
        self._window_start_s = float(0)

    def count_admitted(self, now_s: float) -> None:
        """Count a request that was not refused."""
        self._admitted += 1
        self._update_window(now_s)

    def count_refusal(self, root_id: str, now_s: float) -> float:
        """Count a refused request and return its Retry-After in seconds."""
        self._update_window(now_s)
        return self._retry_after.count_refusal(root_id)

    def _update_window(self, now_s: float) -> None:
        elapsed_s = now_s - self._window_start_s
        if elapsed_s >= _WINDOW_S:
            self._retry_after.update(max(1, self._admitted) / elapsed_s, now_s)
            self._window_start_s = now_s
            self._admitted = 0
