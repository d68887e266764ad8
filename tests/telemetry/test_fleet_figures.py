"""Figures of a fleet, aggregated from the metrics of its nodes."""

import pytest

from fescueknot.admission.messages import RefusalReason
from fescueknot.telemetry.errors import UnreadableMetricsError
from fescueknot.telemetry.fleet_figures import FleetFigures
from fescueknot.telemetry.fleet_rows import ServiceFigures


def _metrics(
    version=3, service='entries', domain='sierra-a', age_s=2, **changed_gauges
):
    gauges = {
        'rules_version': version,
        'routes_evidence_age_s': age_s,
        'targets_revision': 40,
        'slots': 6,
        'slots_in_use': 2,
        'waiting': 1,
        **changed_gauges,
    }
    lines = [f'fescueknot_{name} {value}' for name, value in gauges.items()]
    labels = f'service="{service}",failure_domain="{domain}"'
    lines.append(f'fescueknot_node_info{{{labels}}} 1')
    return '\n'.join((*lines, ''))


def _calls(service, status, count):
    labels = f'event="call.ended",service="{service}",status="{status}"'
    return f'fescueknot_events_total{{{labels}}} {count}\n'


def _latencies(service, counts_by_bound):
    labels = f'event="call.ended",service="{service}"'
    return ''.join(
        f'fescueknot_latency_ms_bucket{{{labels},le="{bound}"}} {count}\n'
        for bound, count in counts_by_bound.items()
    )


def _figures(**texts):
    figures = FleetFigures()
    for name, text in texts.items():
        figures.add(name, text)
    return figures


class TestVersions:
    """Nodes by version in force."""

    def test_nodes_are_listed_by_version_newest_first(self):
        figures = _figures(a=_metrics(3), b=_metrics(4), c=_metrics(4))
        assert figures.versions() == {4: ('b', 'c'), 3: ('a',)}


class TestStoreEras:
    """Nodes by the era of the store that they know."""

    def test_nodes_behind_come_last(self):
        figures = _figures(
            a=f'{_metrics(3)}fescueknot_store_era 1\n',
            b=f'{_metrics(3)}fescueknot_store_era 2\n',
        )
        assert figures.store_eras() == {2: ('b',), 1: ('a',)}


class TestEvidenceAges:
    """Age of the evidence at each node."""

    def test_oldest_evidence_comes_first(self):
        figures = _figures(a=_metrics(age_s=3), b=_metrics(age_s=19.5))
        assert figures.evidence_ages() == (('b', 19.5), ('a', 3))

    def test_a_node_without_evidence_comes_first(self):
        figures = _figures(a=_metrics(age_s='inf'), b=_metrics(age_s=1))
        assert figures.evidence_ages()[0][0] == 'a'


class TestServices:
    """Calls by service, summed over the calling nodes."""

    def test_calls_are_summed_by_result(self):
        first = _metrics() + _calls('x', 200, 5) + _calls('x', 503, 1)
        second = _metrics() + _calls('x', 200, 3) + _calls('x', 504, 2)
        (found,) = _figures(a=first, b=second).services()
        assert (found.served, found.refused, found.failed) == (8, 1, 2)

    def test_percentiles_cover_the_calls_of_all_nodes(self):
        fast = _metrics() + _latencies('x', {'5': 98, '100': 98, '+Inf': 98})
        slow = _metrics() + _latencies('x', {'5': 0, '100': 2, '+Inf': 2})
        (found,) = _figures(a=fast, b=slow).services()
        assert (found.p50_ms, found.p99_ms) == (5, 100)

    def test_a_percentile_above_the_last_finite_bucket_is_infinite(self):
        text = _metrics() + _latencies('x', {'5': 1, '+Inf': 2})
        (found,) = _figures(a=text).services()
        assert found.p99_ms == float('inf')

    def test_a_service_without_latencies_has_no_percentiles(self):
        (found,) = _figures(a=_metrics() + _calls('x', 200, 1)).services()
        assert found == ServiceFigures(service='x', served=1)


class TestTargets:
    """Slots by service and failure domain."""

    def test_slots_are_summed(self):
        figures = _figures(
            a=_metrics(),
            b=_metrics(),
            c=_metrics(service='maps', domain='costa-b'),
        )
        rows = [
            (row.service, row.failure_domain, row.nodes, row.slots, row.in_use)
            for row in figures.targets()
        ]
        assert rows == [
            ('entries', 'sierra-a', 2, 12, 4),
            ('maps', 'costa-b', 1, 6, 2),
        ]


class TestStoreCalls:
    """Calls to the store by reason."""

    def test_calls_are_summed_over_nodes(self):
        line = 'fescueknot_events_total{event="store.call",reason="start"} 2\n'
        figures = _figures(a=_metrics() + line, b=_metrics() + line)
        assert figures.store_calls() == {'start': 4}


class TestUnreadable:
    """Text that does not hold the metrics of a node."""

    @pytest.mark.parametrize(
        'text', ['', 'hello', '<html>', 'up 1\n', '{', 'x{a="b} 1\n']
    )
    def test_it_is_rejected_and_the_node_is_not_added(self, text):
        figures = _figures(a=_metrics())
        with pytest.raises(UnreadableMetricsError):
            figures.add('b', text)
        assert figures.versions() == {3: ('a',)}


class TestAnnouncingTargets:
    """Targets that announce a rate limit or that they leave."""

    def _refusals(self, detail, count):
        labels = f'event="gate.refused",reason="full",detail="{detail}"'
        return f'fescueknot_events_total{{{labels}}} {count}\n'

    def test_limit_and_refusals_of_a_limited_target(self):
        limited = _metrics(target_rate_limit_per_s=11.2)
        limited += self._refusals(RefusalReason.RATE_LIMIT, 7)
        limited += self._refusals(RefusalReason.QUEUE_FULL, 5)
        unlimited = _metrics(target_rate_limit_per_s='+Inf')
        found = _figures(a=limited, b=unlimited, c=_metrics())
        (target,) = found.announcing_targets()
        assert (target.node, target.limit_per_s) == ('a', 11.2)
        assert (target.refused, target.leaving) == (7, False)

    def test_a_limit_of_zero_is_a_limit(self):
        found = _figures(a=_metrics(target_rate_limit_per_s=0))
        assert found.announcing_targets()[0].limit_per_s == 0

    def test_a_leaving_target_without_a_limit_is_listed(self):
        found = _figures(a=_metrics(target_leaving=1))
        (target,) = found.announcing_targets()
        assert target.leaving
        assert target.limit_per_s is None
