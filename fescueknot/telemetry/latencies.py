"""Latency percentiles for each service and importance class.

Percentiles cover a window of between one and two periods: the current period
and the previous one.
"""

import threading

import msgspec
from hdrh.histogram import HdrHistogram

from fescueknot.calls import Importance

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1_000
_MAX_SERIES = 64
_PERIOD_S = 30.0
_OVERFLOW_SERVICE = 'other'


class Series(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Key of one histogram."""

    service: str
    importance: Importance


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Latency percentiles of one series over the window."""

    service: str
    importance: str
    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LatencyRecorder:
    """Histograms of latencies, thread-safe.

    When ``max_series`` is reached, further services share the service name
    ``other``.
    """

    def __init__(
        self, *, period_s: float = _PERIOD_S, max_series: int = _MAX_SERIES
    ) -> None:
        self._period_s = period_s
        self._max_series = max_series
        self._lock = threading.Lock()
        self._period_number = 0
        self._current: dict[Series, HdrHistogram] = {}
        self._previous: dict[Series, HdrHistogram] = {}

    def record(
        self, series: Series, *, latency_ms: float, now_s: float
    ) -> None:
        """Add one latency; out-of-range values are clamped."""
        latency_us = max(_MIN_LATENCY_US, int(latency_ms * _US_PER_MS))
        with self._lock:
            self._rotate(now_s)
            histogram = self._histogram(series)
            histogram.record_value(min(latency_us, _MAX_LATENCY_US))

    def percentiles(self, *, now_s: float) -> tuple[Percentiles, ...]:
        """Return the percentiles of each series with recorded latencies."""
        with self._lock:
            self._rotate(now_s)
            recorded_series = sorted(
                self._current.keys() | self._previous.keys()
            )
            return tuple(self._summary(series) for series in recorded_series)

    def _rotate(self, now_s: float) -> None:
        period_number = int(now_s // self._period_s)
        if period_number == self._period_number:
            return
        is_next_period = period_number == self._period_number + 1
        self._previous = self._current if is_next_period else {}
        self._current = {}
        self._period_number = period_number

    def _histogram(self, series: Series) -> HdrHistogram:
        try:
            return self._current[series]
        except KeyError:
            return self._new_histogram(series)

    def _new_histogram(self, series: Series) -> HdrHistogram:
        if len(self._current) >= self._max_series:
            series = Series(
                service=_OVERFLOW_SERVICE, importance=series.importance
            )
        return self._current.setdefault(series, _histogram())

    def _summary(self, series: Series) -> Percentiles:
        merged = _histogram()
        for histograms in (self._previous, self._current):
            histogram = histograms.get(series)
            if histogram is not None:
                merged.add(histogram)
        return Percentiles(
            service=series.service,
            importance=series.importance.name.lower(),
            count=merged.get_total_count(),
            p50_ms=_percentile_ms(merged, 50),
            p90_ms=_percentile_ms(merged, 90),
            p99_ms=_percentile_ms(merged, 99),
            p999_ms=_percentile_ms(merged, 99.9),
            max_ms=merged.get_max_value() / _US_PER_MS,
        )


def _histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / _US_PER_MS
