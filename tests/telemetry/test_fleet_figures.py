"""Figures of a fleet, added up from the metrics of its nodes."""

import pytest

from fescueknot.telemetry.errors import UnreadableMetricsError
from fescueknot.telemetry.fleet_figures import FleetFigures, ServiceFigures


def _text(version=3, service='entries', domain='sierra-a', age_s=2, **more):
    gauges = {
        'rules_version': version,
        'routes_evidence_age_s': age_s,
        'targets_revision': 40,
        'slots': 6,
        'slots_in_use': 2,
        'waiting': 1,
        **more,
    }
    lines = [f'fescueknot_{name} {value}' for name, value in gauges.items()]
    place = f'service="{service}",failure_domain="{domain}"'
    lines.append(f'fescueknot_node_info{{{place}}} 1')
    return '\n'.join((*lines, ''))


def _calls(service, status, count):
    labels = f'event="call.ended",service="{service}",status="{status}"'
    return f'fescueknot_events_total{{{labels}}} {count}\n'


def _latencies(service, below):
    labels = f'event="call.ended",service="{service}"'
    return ''.join(
        f'fescueknot_latency_ms_bucket{{{labels},le="{bound}"}} {count}\n'
        for bound, count in below.items()
    )


def _figures(**texts):
    figures = FleetFigures()
    for name, text in texts.items():
        figures.add(name, text)
    return figures


class TestVersions:
    """Versions in force."""

    def test_stragglers_are_named(self):
        figures = _figures(a=_text(3), b=_text(4), c=_text(4))
        assert figures.versions() == {4: ('b', 'c'), 3: ('a',)}


class TestBeliefs:
    """How old beliefs are."""

    def test_the_oldest_comes_first(self):
        figures = _figures(a=_text(age_s=3), b=_text(age_s=19.5))
        assert figures.evidence_ages() == (('b', 19.5), ('a', 3))

    def test_a_node_that_never_had_evidence_is_the_oldest(self):
        figures = _figures(a=_text(age_s='inf'), b=_text(age_s=1))
        assert figures.evidence_ages()[0][0] == 'a'


class TestServices:
    """Calls by service, from all nodes that made some."""

    def test_calls_are_added_up_by_how_they_ended(self):
        first = _text() + _calls('x', 200, 5) + _calls('x', 503, 1)
        second = _text() + _calls('x', 200, 3) + _calls('x', 504, 2)
        (found,) = _figures(a=first, b=second).services()
        assert (found.served, found.refused, found.failed) == (8, 1, 2)

    def test_percentiles_are_those_of_all_nodes_together(self):
        fast = _text() + _latencies('x', {'5': 98, '100': 98, '+Inf': 98})
        slow = _text() + _latencies('x', {'5': 0, '100': 2, '+Inf': 2})
        (found,) = _figures(a=fast, b=slow).services()
        assert (found.p50_ms, found.p99_ms) == (5, 100)

    def test_a_percentile_beyond_all_buckets_is_infinite(self):
        text = _text() + _latencies('x', {'5': 1, '+Inf': 2})
        (found,) = _figures(a=text).services()
        assert found.p99_ms == float('inf')

    def test_a_service_without_latencies_has_none(self):
        (found,) = _figures(a=_text() + _calls('x', 200, 1)).services()
        assert found == ServiceFigures(service='x', served=1)


class TestTargets:
    """Slots by service and failure domain."""

    def test_slots_are_added_up(self):
        figures = _figures(
            a=_text(), b=_text(), c=_text(service='maps', domain='costa-b')
        )
        rows = [
            (one.service, one.failure_domain, one.nodes, one.slots, one.in_use)
            for one in figures.targets()
        ]
        assert rows == [
            ('entries', 'sierra-a', 2, 12, 4),
            ('maps', 'costa-b', 1, 6, 2),
        ]


class TestStoreCalls:
    """Calls to the store by reason."""

    def test_they_are_added_up(self):
        line = 'fescueknot_events_total{event="store.call",reason="start"} 2\n'
        figures = _figures(a=_text() + line, b=_text() + line)
        assert figures.store_calls() == {'start': 4}


class TestUnreadable:
    """What is no metrics of a node."""

    @pytest.mark.parametrize(
        'text', ['', 'hello', '<html>', 'up 1\n', '{', 'x{a="b} 1\n']
    )
    def test_it_is_refused_and_counts_nothing(self, text):
        figures = _figures(a=_text())
        with pytest.raises(UnreadableMetricsError):
            figures.add('b', text)
        assert figures.versions() == {3: ('a',)}
