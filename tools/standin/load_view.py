"""What a target says about its own load, late or wrong."""

import collections
import enum

import msgspec


class Honesty(enum.StrEnum):
    """Whether the load endpoint tells the truth."""

    LAGGING = 'lagging'
    ALWAYS_IDLE = 'always-idle'


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load at one moment."""

    in_flight: int
    waiting: int
    slots: int


class _Past(msgspec.Struct, frozen=True, kw_only=True):
    seen_s: float
    load: Load


class LoadView:
    """Reports the load of ``lag_s`` ago, or always an idle target."""

    def __init__(self, *, lag_s: float, honesty: Honesty) -> None:
        self._lag_s = lag_s
        self._honesty = honesty
        self._past: collections.deque[_Past] = collections.deque()

    def report(self, load: Load, *, now_s: float) -> Load:
        """Take the true load and return what the endpoint says."""
        if self._honesty is Honesty.ALWAYS_IDLE:
            return Load(in_flight=0, waiting=0, slots=load.slots)
        self._past.append(_Past(seen_s=now_s, load=load))
        while self._has_newer(now_s - self._lag_s):
            self._past.popleft()
        return self._past[0].load

    def _has_newer(self, due_s: float) -> bool:
        newer = list(self._past)[1:]
        return bool(newer) and newer[0].seen_s <= due_s
