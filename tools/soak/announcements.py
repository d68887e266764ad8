"""Checks of what targets announce: rate limits, and that they leave.

A node is bound from when it passed an answer with the announcement on. One
that is killed, stopped or paused is bound again by the next such answer.
"""

import collections

import msgspec

_WINDOW_S = 4.0
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
# After the first announcement of a limit, and after a node has passed it on.
_STABLE_S = 3.0
_TOLD_S = 0.5


class Origin(msgspec.Struct, frozen=True, kw_only=True):
    """The node of a request, and when its caller sent it."""

    node: str
    sent_s: float


class _Limited:
    """A target that announces a limit."""

    def __init__(self, *, rate_per_s: float, since_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.since_s = since_s
        self.told_s: dict[str, float] = {}
        self.arrivals_s: collections.deque[float] = collections.deque()

    def bound(self) -> float:
        """Return the requests that are tolerated in a window."""
        rate_per_s = self.rate_per_s * _EXCESS_FACTOR
        return rate_per_s * _WINDOW_S + _EXCESS_REQUESTS

    def count(self, origin: Origin, now_s: float) -> int:
        """Count an arrival; return those in the window that are bound."""
        told_s = self.told_s.get(origin.node)
        is_told = told_s is not None and now_s - told_s >= _TOLD_S
        if not is_told or now_s - self.since_s < _STABLE_S:
            return 0
        self.arrivals_s.append(now_s)
        while self.arrivals_s[0] <= now_s - _WINDOW_S:
            self.arrivals_s.popleft()
        return len(self.arrivals_s)


class AnnouncementChecks:
    """What nodes were told, by instance."""

    def __init__(self, *, drain_s: float) -> None:
        self._drain_s = drain_s
        self._limited: dict[str, _Limited] = {}
        self._leaving_told_s: dict[tuple[str, str], float] = {}

    def limit(
        self, instance: str, rate_per_s: float | None, now_s: float
    ) -> None:
        """Record that an instance begins or ends to announce a limit."""
        self._limited.pop(instance, None)
        if rate_per_s is not None:
            self._limited[instance] = _Limited(
                rate_per_s=rate_per_s, since_s=now_s
            )

    def passed_on(
        self, node: str, instance: str, *, leaving: bool, now_s: float
    ) -> None:
        """Record that a node has passed an answer of an instance on."""
        limited = self._limited.get(instance)
        if limited is not None:
            limited.told_s.setdefault(node, now_s)
        if leaving:
            self._leaving_told_s.setdefault((node, instance), now_s)

    def excuse(self, node: str) -> None:
        """Forget what a node was told."""
        for limited in self._limited.values():
            limited.told_s.pop(node, None)
        for key in tuple(self._leaving_told_s):
            if key[0] == node:
                self._leaving_told_s.pop(key)

    def breach(self, origin: Origin, instance: str, now_s: float) -> str:
        """Return how an arrival breaks a bound, empty if it does not."""
        limited = self._limited.get(instance)
        if limited is not None:
            found = limited.count(origin, now_s)
            if found > limited.bound():
                return (
                    f'{instance} got {found} at {limited.rate_per_s} a second'
                )
        told_s = self._leaving_told_s.get((origin.node, instance))
        if told_s is not None and origin.sent_s > told_s + self._drain_s:
            late_s = origin.sent_s - told_s - self._drain_s
            return f'{instance} had announced its leaving, {late_s:.2f} s late'
        return ''
