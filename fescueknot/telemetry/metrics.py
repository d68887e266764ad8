"""Counters and gauges of a node, in the Prometheus text format and as JSON.

Each node has a registry of its own, so metrics of the process-wide default
registry of ``prometheus_client`` are not exported.
"""

from collections.abc import Callable, Iterator

import msgspec
import prometheus_client
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector, CollectorRegistry

from fescueknot.telemetry.latencies import LatencyRecorder, Percentiles

_PREFIX = 'fescueknot'
_MS_PER_S = 1_000
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Value of one counter or gauge."""

    name: str
    labels: dict[str, str]
    reading: float


class MetricsView(msgspec.Struct, frozen=True, kw_only=True):
    """All metrics of a node, as shown in the JSON view."""

    samples: tuple[Sample, ...]
    latencies: tuple[Percentiles, ...]


class Metrics:
    """Metrics registry of one node.

    ``monotonic_s`` is called when percentiles are collected.
    """

    def __init__(
        self, *, latencies: LatencyRecorder, monotonic_s: Callable[[], float]
    ) -> None:
        self._latencies = latencies
        self._monotonic_s = monotonic_s
        self._registry = CollectorRegistry()
        self._quantile_collector = QuantileCollector(
            latencies=latencies, monotonic_s=monotonic_s
        )

    def counter(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Return a new counter; its name is prefixed with ``fescueknot_``."""
        return prometheus_client.Counter(
            f'{_PREFIX}_{name}', documentation, labels, registry=self._registry
        )

    def gauge(
        self, name: str, documentation: str, source: Callable[[], float]
    ) -> None:
        """Register a gauge that calls ``source`` on each collection."""
        gauge = prometheus_client.Gauge(
            f'{_PREFIX}_{name}', documentation, registry=self._registry
        )
        gauge.set_function(source)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        counters_and_gauges = prometheus_client.generate_latest(self._registry)
        return counters_and_gauges + prometheus_client.generate_latest(
            self._quantile_collector
        )

    def view(self) -> MetricsView:
        """Return all metrics for the JSON view."""
        now_s = self._monotonic_s()
        return MetricsView(
            samples=tuple(self._samples()),
            latencies=self._latencies.percentiles(now_s=now_s),
        )

    def _samples(self) -> Iterator[Sample]:
        for family in self._registry.collect():
            for sample in family.samples:
                if not sample.name.endswith('_created'):
                    yield Sample(
                        name=sample.name,
                        labels=dict(sample.labels),
                        reading=sample.value,
                    )


class QuantileCollector(Collector):
    """Exports latency percentiles as a summary, one sample per quantile."""

    def __init__(
        self, *, latencies: LatencyRecorder, monotonic_s: Callable[[], float]
    ) -> None:
        self._latencies = latencies
        self._monotonic_s = monotonic_s

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield one metric family with a sample per series and quantile."""
        name = f'{_PREFIX}_latency_seconds'
        family = SummaryMetricFamily(name, 'Latency over the last minute.')
        for series in self._latencies.percentiles(now_s=self._monotonic_s()):
            labels = {
                'service': series.service,
                'importance': series.importance,
            }
            for quantile, latency_ms in _latencies_by_quantile(series):
                sample_labels = labels | {'quantile': quantile}
                family.add_sample(name, sample_labels, latency_ms / _MS_PER_S)
            family.add_sample(f'{name}_count', labels, series.count)
        yield family


def _latencies_by_quantile(
    series: Percentiles,
) -> tuple[tuple[str, float], ...]:
    return (
        ('0.5', series.p50_ms),
        ('0.9', series.p90_ms),
        ('0.99', series.p99_ms),
        ('0.999', series.p999_ms),
    )
