"""Counters, latency histograms and gauges in the Prometheus text format.

The format is written without the Prometheus client library, which takes 5 MB
in each node, a third of the memory that a node needs. All nodes use the same
histogram buckets, so that histograms of several nodes can be added up.
"""

import collections
import types
from collections.abc import Callable, Iterator, Mapping

from hdrh.histogram import HdrHistogram

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response

_MAX_SERIES = 256
_MIN_LATENCY_MS = 1
_MAX_LATENCY_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_BUCKET_BOUNDS_MS = (
    *(1, 2, 5, 10, 20, 50, 100, 200, 500),
    *(1000, 2000, 5000, 10_000),
)
_OVERFLOW_VALUES = ('other',)
_LABEL_ESCAPES = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})
_CONTENT_TYPE = ('content-type', 'text/plain; version=0.0.4')

_SERVICE_LABELS = ('service', 'status')
_KIND_LABELS = ('kind',)

# Details of an event that become labels of its counter; others are dropped.
_LABELS_BY_EVENT = types.MappingProxyType(
    {
        'call.ended': _SERVICE_LABELS,
        'call.abandoned': _SERVICE_LABELS,
        'call.shed': ('route', 'reason'),
        'call.reply': ('ending', 'reason'),
        'gate.sent': ('ending',),
        'gate.refused': ('reason', 'detail'),
        'target.heard': ('change',),
        'routes.offered': ('taken',),
        'store.call': ('reason',),
        'store.lost': _KIND_LABELS,
        'store.regained': _KIND_LABELS,
    }
)
_LabelledReader = Callable[[], Mapping[str, float]]
_TIMED_EVENTS = frozenset(('call.ended', 'gate.sent'))


class NodeMetrics:
    """Counters, histograms and gauges of one node.

    The number of counters and of histograms is bounded. Beyond the bound, new
    series of an event are added up in one series with the label value
    ``other``.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self._latencies: dict[tuple[str, ...], HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labelled_gauges: dict[tuple[str, str], _LabelledReader] = {}
        self._info_labels: dict[str, str] = {}

    def describe(self, **labels: str) -> None:
        """Set the labels of the ``node_info`` series."""
        self._info_labels = labels

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge; ``read`` returns its value on each request."""
        self._gauges[name] = read

    def labelled_gauge(
        self, name: str, label: str, read: _LabelledReader
    ) -> None:
        """Add a gauge with a value for each value of a label.

        ``read`` returns a bounded number of them on each request.
        """
        self._labelled_gauges[name, label] = read

    def note(self, event: str, details: Mapping[str, object]) -> None:
        """Count an event, and record its latency if it has one."""
        key = (event, *_label_values(event, details))
        is_full = len(self._counts) >= _MAX_SERIES
        if is_full and key not in self._counts:
            key = (event, *_OVERFLOW_VALUES)
        self._counts[key] += 1
        if event in _TIMED_EVENTS:
            service = str(details.get('service', 'own target'))
            self._record((event, service), details.get('ms', 0))

    def text(self) -> str:
        """Return all series in the text format."""
        lines = [*self._counter_lines(), *self._gauge_lines()]
        if self._info_labels:
            info_labels = _label_text(self._info_labels.items())
            lines.append(_line('node_info', info_labels, 1))
        for key, histogram in self._latencies.items():
            lines.extend(_histogram_lines(key, histogram))
        return '\n'.join((*lines, ''))

    def _record(self, key: tuple[str, ...], latency_ms: int) -> None:
        histogram = self._latencies.get(key)
        if histogram is None:
            if len(self._latencies) >= _MAX_SERIES:
                key = (key[0], *_OVERFLOW_VALUES)
            histogram = self._latencies.setdefault(
                key,
                HdrHistogram(
                    _MIN_LATENCY_MS, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS
                ),
            )
        histogram.record_value(
            min(max(latency_ms, _MIN_LATENCY_MS), _MAX_LATENCY_MS)
        )

    def _counter_lines(self) -> Iterator[str]:
        for key, count in sorted(self._counts.items()):
            names = ('event', *_LABELS_BY_EVENT.get(key[0], ()))
            labels = _label_text(zip(names, key, strict=False))
            yield _line('events_total', labels, count)

    def _gauge_lines(self) -> Iterator[str]:
        for name, read in sorted(self._gauges.items()):
            yield f'fescueknot_{name} {read():g}'
        for (name, label), read_all in self._labelled_gauges.items():
            for label_value, number in read_all().items():
                labels = _label_text(((label, label_value),))
                yield _line(name, labels, f'{number:g}')


class MetricsHandler(Handler):
    """Answers every request with the metrics of this node."""

    def __init__(self, *, metrics: NodeMetrics) -> None:
        self._metrics = metrics

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return the metrics in the text format."""
        return Response(
            status=200,
            headers=(_CONTENT_TYPE,),
            body=self._metrics.text().encode(),
        )

    def limits(self) -> Limits:
        """Return limits for requests without a body."""
        return Limits(body_bytes=0, idle_timeout_s=30)


def _label_values(event: str, details: Mapping[str, object]) -> list[str]:
    names = _LABELS_BY_EVENT.get(event, ())
    return [str(details.get(name, '')) for name in names]


def _histogram_lines(
    key: tuple[str, ...], histogram: HdrHistogram
) -> Iterator[str]:
    """Yield the lines of buckets, sum and count of one histogram."""
    labels = _label_text(zip(('event', 'service'), key, strict=True))
    count = histogram.get_total_count()
    for bound, cumulative in _cumulative(histogram):
        yield _line('latency_ms_bucket', f'{labels},le="{bound}"', cumulative)
    yield _line('latency_ms_bucket', f'{labels},le="+Inf"', count)
    total = round(histogram.get_mean_value() * count)
    yield _line('latency_ms_sum', labels, total)
    yield _line('latency_ms_count', labels, count)


def _cumulative(histogram: HdrHistogram) -> Iterator[tuple[int, int]]:
    """Yield each bucket bound and the number of values up to it."""
    buckets = [
        (bucket.value_iterated_to, bucket.count_added_in_this_iter_step)
        for bucket in histogram.get_recorded_iterator()
    ]
    for bound in _BUCKET_BOUNDS_MS:
        counts = [count for upper, count in buckets if upper <= bound]
        yield bound, sum(counts)


def _line(name: str, labels: str, number: int | str) -> str:
    return f'fescueknot_{name}{{{labels}}} {number}'


def _label_text(pairs) -> str:
    return ','.join(
        f'{name}="{text.translate(_LABEL_ESCAPES)}"' for name, text in pairs
    )
