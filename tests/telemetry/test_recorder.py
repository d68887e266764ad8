"""Spans, latencies and counters of a node."""

import io
import json
import logging

import msgspec
import pytest

from fescueknot.calls import Importance
from fescueknot.clock import ManualClock
from fescueknot.telemetry import logs, trace_tree
from fescueknot.telemetry.latencies import LatencyRecorder, Series
from fescueknot.telemetry.recorder import Telemetry
from fescueknot.telemetry.spans import Span, SpanBuffer

_PRECISION = 0.02


def _span(span_id: str, parent: str = '', **changes: object) -> Span:
    span = Span(
        trace_id='t1',
        span_id=span_id,
        parent_span_id=parent,
        name='entry',
        service='ledger',
        instance='ledger-1',
        importance=Importance.CRITICAL,
        decision='served',
        rule='POST /postings',
        requested_by='M. Laine',
        start_wall_s=10,
        duration_ms=4,
        status=200,
    )
    return msgspec.structs.replace(span, **changes)


class TestSpanBuffer:
    """A bounded ring of spans."""

    def test_oldest_are_dropped(self) -> None:
        buffer = SpanBuffer(capacity=3)
        for number in range(5):
            buffer.add(_span(str(number)))
        buffer.add(_span('x', trace_id='t2'))
        kept = [span.span_id for span in buffer.of_trace('t1')]
        assert kept == ['3', '4']


class TestTree:
    """A trace as text."""

    def test_children_follow_in_order_of_start(self) -> None:
        spans = [
            _span('late', 'root', name='late', start_wall_s=12),
            _span('leaf', 'early', name='leaf', start_wall_s=11),
            _span('early', 'root', name='early', start_wall_s=11),
            _span('root', 'unknown', name='root'),
        ]
        lines = trace_tree.render_tree(spans).splitlines()
        heads = [line.partition(' ledger/')[0] for line in lines]
        assert heads == ['root', '  early', '    leaf', '  late']
        assert 'rule "POST /postings" (M. Laine)' in lines[0]

    def test_spans_that_name_each_other_do_not_hang(self) -> None:
        spans = (_span('a', 'b'), _span('b', 'a'))
        assert not trace_tree.render_tree(spans)


class TestLatencyRecorder:
    """Percentiles over a sliding window."""

    _series = Series(service='ledger', importance=Importance.HIGH)

    def test_percentiles(self) -> None:
        recorder = LatencyRecorder()
        for latency_ms in range(1, 101):
            recorder.record(self._series, latency_ms=latency_ms, now_s=1)
        found = recorder.percentiles(now_s=2)[0]
        assert found.count == 100
        assert found.p50_ms == pytest.approx(50, rel=_PRECISION)
        assert found.p99_ms == pytest.approx(99, rel=_PRECISION)

    @pytest.mark.parametrize(
        ('asked_s', 'counts'),
        [
            (25, [2]),
            (35, [1]),
            (45, []),
            (999, []),
        ],
    )
    def test_old_periods_are_left_out(
        self, asked_s: float, counts: list[int]
    ) -> None:
        recorder = LatencyRecorder(period_s=10)
        recorder.record(self._series, latency_ms=1, now_s=15)
        recorder.record(self._series, latency_ms=1, now_s=25)
        found = recorder.percentiles(now_s=asked_s)
        assert [series.count for series in found] == counts

    def test_number_of_series_is_bounded(self) -> None:
        recorder = LatencyRecorder(max_series=2)
        for number in range(9):
            series = Series(service=f's{number}', importance=Importance.LOW)
            recorder.record(series, latency_ms=1e12, now_s=0)
        counts = {
            found.service: found.count
            for found in recorder.percentiles(now_s=0)
        }
        assert counts == {'s0': 1, 's1': 1, 'other': 7}


class TestTelemetry:
    """One report feeds spans, counters and percentiles."""

    def test_a_retry_is_seen_in_both_views(self) -> None:
        telemetry = Telemetry(clock=ManualClock(now_s=5))
        telemetry.metrics.gauge('queue_length', 'Waiting calls.', lambda: 7)
        telemetry.record(_span('a'))
        telemetry.record(_span('b', attempt=2, decision='shed', status=503))
        text = telemetry.metrics.text().decode()
        assert (
            'fescueknot_calls_total{decision="shed",hop="entry",'
            'importance="critical",service="ledger"} 1.0'
        ) in text
        assert 'fescueknot_retries_total{service="ledger"} 1.0' in text
        assert 'fescueknot_queue_length 7.0' in text
        assert 'quantile="0.99",service="ledger"' in text
        view = json.loads(msgspec.json.encode(telemetry.metrics.view()))
        assert view['latencies'][0]['count'] == 2
        assert len(telemetry.spans.of_trace('t1')) == 2


class TestLogs:
    """Each event is one line with the prefix of its part."""

    @pytest.mark.parametrize(
        ('name', 'said'),
        [
            ('fescueknot.entry', 'queue is full'),
            ('fescueknot.entry.http', 'entry: queue is full'),
        ],
    )
    def test_plain_line(self, name: str, said: str) -> None:
        stream = io.StringIO()
        logs.configure(level='info', as_json=False, instance='a', stream=stream)
        logging.getLogger(name).info('%s\nnow', said)
        line = stream.getvalue().removesuffix('\n')
        assert line.endswith(r'Z INFO entry: queue is full\nnow')

    def test_json_line(self) -> None:
        stream = io.StringIO()
        logs.configure(
            level='warning', as_json=True, instance='a', stream=stream
        )
        logs.part_logger('entry').info('not shown')
        logs.part_logger('entry').warning('slow')
        line = json.loads(stream.getvalue())
        assert line['message'] == 'entry: slow'
        assert line['level'] == 'WARNING'
        assert line['instance'] == 'a'
