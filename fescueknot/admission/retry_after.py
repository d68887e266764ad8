"""When refused clients are told to come back.

The span over which they are spread grows with refusals against capacity, so
that those who return fit what the target can do. The point inside the span
comes from the root id: clients refused together don't return together.
"""

import zlib

_SHORTEST_SPAN_S = 1.0
_LONGEST_SPAN_S = 30.0
_EARLIEST_S = 0.5
_KEPT_SHARE = 0.8
_HASH_SPAN = 1 << 32
_SALT = b'return'
_ENTRY_WINDOW_S = 0.5


class ReturnTimes:
    """Rate of refusals and the span that follows from it."""

    def __init__(self) -> None:
        self._refused = 0
        self._rolled_s = float(0)
        self._span_s = _SHORTEST_SPAN_S

    def refused(self, root_id: str) -> float:
        """Count a refusal and return the seconds until the return."""
        self._refused += 1
        part = zlib.crc32(root_id.encode(), zlib.crc32(_SALT)) / _HASH_SPAN
        return _EARLIEST_S + part * self._span_s

    def roll(self, capacity_per_s: float, now_s: float) -> None:
        """Set the span from the refusals since the last call."""
        elapsed_s = now_s - self._rolled_s
        if capacity_per_s > 0 and elapsed_s > 0:
            fresh_s = self._refused / elapsed_s / capacity_per_s * 2
            mixed_s = self._span_s * _KEPT_SHARE + fresh_s * (1 - _KEPT_SHARE)
            bounded_s = min(_LONGEST_SPAN_S, mixed_s)
            self._span_s = max(_SHORTEST_SPAN_S, bounded_s)
        self._refused = 0
        self._rolled_s = now_s


class EntryRetryAfter:
    """Return times where requests enter, against those let through."""

    def __init__(self) -> None:
        self._returns = ReturnTimes()
        self._passed = 0
        self._window_began_s = float(0)

    def count_admitted(self, now_s: float) -> None:
        """Count a request that was let through."""
        self._passed += 1
        self._roll(now_s)

    def count_refusal(self, root_id: str, now_s: float) -> float:
        """Count a refusal and return the seconds until the return."""
        self._roll(now_s)
        return self._returns.refused(root_id)

    def _roll(self, now_s: float) -> None:
        elapsed_s = now_s - self._window_began_s
        if elapsed_s >= _ENTRY_WINDOW_S:
            self._returns.roll(max(1, self._passed) / elapsed_s, now_s)
            self._window_began_s = now_s
            self._passed = 0
