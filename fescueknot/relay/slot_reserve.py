"""Number of slots of a target that are kept free to raise its throughput.

Some targets slow down when nearly all slots are in use, so that the last slots
lower the throughput. Service times with all slots in use are compared with
those with a few slots kept free. Only requests that make no calls are
compared, since waiting for other targets says nothing about this one.
"""

import enum
import math

# One slot is reserved for each started group of this many slots.
_SLOTS_PER_RESERVED = 16
# With fewer slots, one is too large a fraction of the capacity to reserve,
# however much the last slot slows the target down.
_MIN_SLOTS = 5
_SAMPLES_PER_SETTING = 200
# Bounds each measurement, so that old service times are not compared.
_MAX_MEASURE_S = 5.0
_RESERVED_S = 15.0
_MIN_PAUSE_S = 4.0
_MAX_PAUSE_S = 60.0
_BASELINE_SAMPLES = 50
# Lower bound of a baseline, as service times are divided by it.
_MIN_BASELINE_S = 1e-6
_MAX_ROUTES = 64


class Stage(enum.Enum):
    """Stage of the comparison."""

    MEASURING_ALL = 'service times with all slots'
    MEASURING_RESERVED = 'service times with some slots reserved'
    RESERVED = 'some slots are reserved because that raises the throughput'
    PAUSED = 'all slots are used because that raises the throughput'


class _RunningStats:
    """Mean and variance of samples, by Welford's algorithm."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = float(0)
        self._squares = float(0)

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        deviation = sample - self.mean
        self.mean += deviation / self.count
        self._squares += deviation * (sample - self.mean)

    def relative_error(self) -> float:
        """Return the standard error of the mean, relative to the mean."""
        if self.count < 2 or not self.mean:
            return math.inf
        variance = self._squares / (self.count - 1)
        return math.sqrt(variance / self.count) / self.mean


class SlotReserve:
    """Compares the throughput with and without reserved slots repeatedly.

    Measures service times first with all slots in use, then with some
    reserved, keeps the better setting for a while and compares again. Pauses
    between comparisons get longer while a reserve brings nothing.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._reserve_size = math.ceil(slots / _SLOTS_PER_RESERVED)
        self._baselines: dict[str, _RunningStats] = {}
        self._pause_s = _MIN_PAUSE_S
        self._enter(Stage.MEASURING_ALL, 0)

    @property
    def stage(self) -> Stage:
        """Return the current stage of the comparison."""
        return self._stage

    @property
    def reserved_slots(self) -> int:
        """Return how many slots to keep free now."""
        # Read several times a call; members of a set would be hashed each time.
        stage = self._stage
        if stage is Stage.MEASURING_RESERVED or stage is Stage.RESERVED:
            return self._reserve_size
        return 0

    def record(
        self, route: str, in_flight: int, service_s: float, now_s: float
    ) -> None:
        """Record the service time of a request that made no calls.

        ``in_flight`` counts the requests at the target when this one started,
        itself included.
        """
        if self._slots < _MIN_SLOTS:
            return
        ratio = service_s / self._baseline_s(route, service_s)
        if in_flight > self._slots - self._reserve_size:
            self._full_times.add(ratio)
        elif in_flight > self._slots - 2 * self._reserve_size:
            self._reserved_times.add(ratio)
        self._advance(now_s)

    def _advance(self, now_s: float) -> None:
        if (
            self._stage is Stage.MEASURING_ALL
            and self._full_times.count >= _SAMPLES_PER_SETTING
        ):
            self._stage = Stage.MEASURING_RESERVED
        elif (
            self._stage is Stage.MEASURING_RESERVED
            and self._reserved_times.count >= _SAMPLES_PER_SETTING
        ):
            self._decide(now_s)
        elif now_s - self._entered_s > self._max_stage_s():
            self._enter(Stage.MEASURING_ALL, now_s)

    def _max_stage_s(self) -> float:
        if self._stage is Stage.RESERVED:
            return _RESERVED_S
        if self._stage is Stage.PAUSED:
            return self._pause_s
        return _MAX_MEASURE_S

    def _decide(self, now_s: float) -> None:
        rate_full = self._slots / self._full_times.mean
        rate_reserved = (
            self._slots - self._reserve_size
        ) / self._reserved_times.mean
        relative_error = math.hypot(
            self._full_times.relative_error(),
            self._reserved_times.relative_error(),
        )
        if rate_reserved > rate_full * (1 + relative_error):
            self._pause_s = _MIN_PAUSE_S
            self._enter(Stage.RESERVED, now_s)
        else:
            self._pause_s = min(self._pause_s * 2, _MAX_PAUSE_S)
            self._enter(Stage.PAUSED, now_s)

    def _enter(self, stage: Stage, now_s: float) -> None:
        self._stage = stage
        self._entered_s = now_s
        if stage is Stage.MEASURING_ALL:
            self._baselines.clear()
        self._full_times = _RunningStats()
        self._reserved_times = _RunningStats()

    def _baseline_s(self, route: str, service_s: float) -> float:
        """Return the mean of the first service times of a route.

        It is fixed for the rest of a comparison, to compare service times of
        different routes relative to it.
        """
        baseline = self._baselines.get(route)
        if baseline is None:
            baseline = _RunningStats()
            if len(self._baselines) < _MAX_ROUTES:
                self._baselines[route] = baseline
        if baseline.count < _BASELINE_SAMPLES:
            baseline.add(service_s)
        return max(baseline.mean, _MIN_BASELINE_S)
