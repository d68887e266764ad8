"""When a node reads the store because its evidence is no longer fresh."""

import random

# Reads of the whole fleet together, below what the store takes.
_FLEET_READS_PER_S = 1600
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 1.5


class FallbackSchedule:
    """Times of the reads of one node while its evidence is not fresh.

    Many nodes may lose their evidence at once, so each waits for a random part
    of the time in which the store can serve all of them. A node that hears
    from no other node is probably the only one, and reads at once.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._due_s: float | None = None
        self._earliest_s = float(0)
        self._retry_s = _FIRST_RETRY_S

    def reset(self) -> None:
        """Record that the evidence is fresh."""
        self._due_s = None
        self._retry_s = _FIRST_RETRY_S

    def is_due(self, *, now_s: float, nodes: int, is_alone: bool) -> bool:
        """Return whether a node without fresh evidence reads now.

        ``nodes`` is the size of the fleet.
        """
        if self._due_s is None:
            spread_s = 0 if is_alone else nodes / _FLEET_READS_PER_S
            drawn_s = now_s + self._rng.uniform(0, spread_s)
            self._due_s = max(drawn_s, self._earliest_s)
        return now_s >= self._due_s

    def record_success(self, *, now_s: float, nodes: int) -> None:
        """Record that the store has answered."""
        self._earliest_s = now_s + nodes / _FLEET_READS_PER_S
        self.reset()

    def record_failure(self, *, now_s: float, nodes: int) -> None:
        """Record that the store has not answered; back off."""
        interval_s = nodes / _FLEET_READS_PER_S
        pause_s = max(interval_s, self._retry_s * self._rng.uniform(0.5, 1))
        self._due_s = now_s + pause_s
        self._retry_s = min(self._retry_s * 2, _MAX_RETRY_S)
