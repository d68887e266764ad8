"""Entry point for recording the finished hops of a node."""

from fescueknot.clock import Clock
from fescueknot.telemetry.latencies import LatencyRecorder, Series
from fescueknot.telemetry.metrics import Metrics
from fescueknot.telemetry.spans import Span, SpanBuffer

_MAX_SPANS = 4_096


class Telemetry:
    """Spans, latencies and counters of a node, thread-safe."""

    def __init__(
        self, *, clock: Clock, span_capacity: int = _MAX_SPANS
    ) -> None:
        self._clock = clock
        self._latencies = LatencyRecorder()
        self.spans = SpanBuffer(capacity=span_capacity)
        self.metrics = Metrics(
            latencies=self._latencies, monotonic_s=clock.monotonic_s
        )
        self._calls = self.metrics.counter(
            'calls',
            'Calls by hop, service, importance class and decision.',
            ('hop', 'service', 'importance', 'decision'),
        )
        self._retries = self.metrics.counter(
            'retries', 'Attempts after the first, by service.', ('service',)
        )

    def record(self, span: Span) -> None:
        """Record the span of a finished hop and update the metrics."""
        self.spans.add(span)
        importance = span.importance.name.lower()
        self._calls.labels(
            span.name, span.service, importance, span.decision
        ).inc()
        if span.attempt > 1:
            self._retries.labels(span.service).inc()
        self._latencies.record(
            Series(service=span.service, importance=span.importance),
            latency_ms=span.duration_ms,
            now_s=self._clock.monotonic_s(),
        )
