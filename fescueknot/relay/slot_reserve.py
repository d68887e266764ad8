"""Whether a target serves more when a few of its slots stay free.

Some targets slow down when they are nearly full, so that the last slots cost
more than they bring. Service times near the top are held against those just
below it; only work that makes no calls of its own is compared, since waiting
for other targets says nothing about this one.
"""

import enum
import math

# A target is nearly full when fewer than one of so many slots is free.
_SLOTS_PER_RESERVED = 16
# Of fewer slots none can be spared, whatever it costs to use it.
_FEWEST_SLOTS = 5
_SAMPLES = 200
# A comparison takes this long at the most; older service times don't count.
_LONGEST_S = 5.0
_HOLD_S = 15.0
_FIRST_PAUSE_S = 4.0
_LONGEST_PAUSE_S = 60.0
_USUAL_SAMPLES = 50
_SHORTEST_S = 1e-6
_MOST_ROUTES = 64


class Stage(enum.Enum):
    """What is being found out."""

    FULL = 'service times with all slots'
    BELOW = 'service times with some slots left free'
    RESERVED = 'some slots are left free because that serves more'
    PAUSED = 'all slots are used because that serves more'


class _Sampled:
    """Mean and spread of relative service times."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = float(0)
        self._squares = float(0)

    def add(self, relative: float) -> None:
        """Take one more (Welford's update)."""
        self.count += 1
        step = relative - self.mean
        self.mean += step / self.count
        self._squares += step * (relative - self.mean)

    def relative_error(self) -> float:
        """Return the standard error of the mean as a part of it."""
        if self.count < 2 or not self.mean:
            return math.inf
        variance = self._squares / (self.count - 1)
        return math.sqrt(variance / self.count) / self.mean


class SlotReserve:
    """Compares both ways again and again, each for a short time."""

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._step = math.ceil(slots / _SLOTS_PER_RESERVED)
        self._usual_s: dict[str, _Sampled] = {}
        self._pause_s = _FIRST_PAUSE_S
        self._enter(Stage.FULL, 0)

    @property
    def stage(self) -> Stage:
        """Return what is being found out."""
        return self._stage

    @property
    def reserved(self) -> int:
        """Return how many slots are to be left free now."""
        leaves_free = self._stage in {Stage.BELOW, Stage.RESERVED}
        return self._step if leaves_free else 0

    def note(
        self, route: str, in_flight: int, took_s: float, now_s: float
    ) -> None:
        """Take the service time of a request that made no calls.

        ``in_flight`` counts the requests at the target when it started.
        """
        if self._slots < _FEWEST_SLOTS:
            return
        relative = took_s / self._usual_of(route, took_s)
        if in_flight > self._slots - self._step:
            self._full.add(relative)
        elif in_flight > self._slots - 2 * self._step:
            self._below.add(relative)
        self._go_on(now_s)

    def _go_on(self, now_s: float) -> None:
        longest_s = {
            Stage.FULL: _LONGEST_S,
            Stage.BELOW: _LONGEST_S,
            Stage.RESERVED: _HOLD_S,
            Stage.PAUSED: self._pause_s,
        }
        if self._stage is Stage.FULL and self._full.count >= _SAMPLES:
            self._stage = Stage.BELOW
        elif self._stage is Stage.BELOW and self._below.count >= _SAMPLES:
            self._decide(now_s)
        elif now_s - self._entered_s > longest_s[self._stage]:
            self._enter(Stage.FULL, now_s)

    def _decide(self, now_s: float) -> None:
        served_full = self._slots / self._full.mean
        served_below = (self._slots - self._step) / self._below.mean
        doubt = math.hypot(
            self._full.relative_error(), self._below.relative_error()
        )
        if served_below > served_full * (1 + doubt):
            self._pause_s = _FIRST_PAUSE_S
            self._enter(Stage.RESERVED, now_s)
        else:
            self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)
            self._enter(Stage.PAUSED, now_s)

    def _enter(self, stage: Stage, now_s: float) -> None:
        self._stage = stage
        self._entered_s = now_s
        if stage is Stage.FULL:
            self._usual_s.clear()
        self._full = _Sampled()
        self._below = _Sampled()

    def _usual_of(self, route: str, took_s: float) -> float:
        """Return the usual service time of a route.

        It stays as it is while it is the measure of a comparison.
        """
        usual = self._usual_s.get(route)
        if usual is None:
            usual = _Sampled()
            if len(self._usual_s) < _MOST_ROUTES:
                self._usual_s[route] = usual
        if usual.count < _USUAL_SAMPLES:
            usual.add(took_s)
        return max(usual.mean, _SHORTEST_S)
