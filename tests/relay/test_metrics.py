"""Counters, histograms and gauges in the Prometheus text format."""

from fescueknot.relay.metrics import NodeMetrics


def _lines(metrics):
    return metrics.text().splitlines()


class TestCounters:
    """Counters."""

    def test_events_are_counted_by_label(self):
        metrics = NodeMetrics()
        metrics.note('gate.refused', {'reason': 'full', 'id': 'x'})
        metrics.note('gate.refused', {'reason': 'full', 'id': 'y'})
        expected = (
            'fescueknot_events_total'
            '{event="gate.refused",reason="full",detail=""} 2'
        )
        assert expected in _lines(metrics)

    def test_the_number_of_series_is_bounded(self):
        metrics = NodeMetrics()
        for index in range(5000):
            metrics.note('call.shed', {'route': f'r{index}'})
            metrics.note('call.ended', {'service': f's{index}', 'ms': 1})
        assert len(_lines(metrics)) < 5000

    def test_label_values_are_escaped(self):
        metrics = NodeMetrics()
        metrics.note('call.shed', {'route': 'a"b\nc'})
        assert r'route="a\"b\nc"' in metrics.text()


class TestLatencies:
    """Latency histograms."""

    def test_buckets_are_cumulative(self):
        metrics = NodeMetrics()
        for latency_ms in (1, 3, 3, 40, 99_999):
            metrics.note('call.ended', {'service': 's', 'ms': latency_ms})
        head = 'fescueknot_latency_ms_bucket{event="call.ended",service="s",'
        found = {
            line.split('le="')[1].split('"')[0]: line.split()[-1]
            for line in _lines(metrics)
            if line.startswith(head)
        }
        assert found['1'] == '1'
        assert found['5'] == '3'
        assert found['50'] == '4'
        assert found['10000'] == '4'
        assert found['+Inf'] == '5'


class TestGauges:
    """Gauges."""

    def test_gauges_are_read_on_each_request(self):
        metrics = NodeMetrics()
        metrics.gauge('waiting', lambda: 3)
        assert 'fescueknot_waiting 3' in _lines(metrics)


class TestNodeInfo:
    """The ``node_info`` series."""

    def test_node_info_is_a_series_of_value_one(self):
        metrics = NodeMetrics()
        metrics.describe(node='a', service='"x"')
        expected = r'fescueknot_node_info{node="a",service="\"x\""} 1'
        assert expected in _lines(metrics)
