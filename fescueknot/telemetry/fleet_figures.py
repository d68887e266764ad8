"""Figures of a fleet, aggregated from the metrics of its nodes."""

import collections
import math
from collections.abc import Iterator

import msgspec
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from fescueknot.telemetry.errors import UnreadableMetricsError
from fescueknot.telemetry.fleet_rows import (
    AnnouncingTargetFigures,
    LateNodeFigures,
    ServiceFigures,
    TargetFigures,
)

_PREFIX = 'fescueknot_'
_EVENTS_METRIC = 'events_total'
_LATENCY_BUCKET_METRIC = 'latency_ms_bucket'
_NODE_INFO_METRIC = 'node_info'
_RULES_VERSION_METRIC = 'rules_version'
_STORE_ERA_METRIC = 'store_era'
_EVIDENCE_AGE_METRIC = 'routes_evidence_age_s'
_VERSION_HEARD_METRIC = 'rules_version_heard'
_FOLLOWS_METRIC = 'follows_store'
_RATE_LIMIT_METRIC = 'target_rate_limit_per_s'
_LEAVING_METRIC = 'target_leaving'
_GATE_REFUSED_EVENT = 'gate.refused'
_RATE_LIMIT_DETAIL = 'rate limit of the target'
_CALL_ENDED_EVENT = 'call.ended'
_STORE_CALL_EVENT = 'store.call'
_REFUSAL_STATUS = '503'
_MIN_FAILURE_STATUS = '500'
_P50 = 0.5
_P99 = 0.99


class _NodeSamples(msgspec.Struct, frozen=True, kw_only=True):
    """Samples of one node, by metric name without the prefix."""

    samples: dict[str, list[Sample]]

    def gauge(self, name: str) -> float:
        """Return the value of a gauge, 0 if the node does not export it."""
        samples = self.samples.get(name)
        return samples[0].value if samples else 0

    def rate_limit_per_s(self) -> float | None:
        """Return the limit that the target announces, ``None`` without one."""
        samples = self.samples.get(_RATE_LIMIT_METRIC)
        if not samples or math.isinf(samples[0].value):
            return None
        return samples[0].value

    def refused_by_rate_limit(self) -> int:
        """Return the number of calls refused by an announced limit."""
        return int(
            sum(
                sample.value
                for sample in self.event_counters(_GATE_REFUSED_EVENT)
                if sample.labels.get('detail') == _RATE_LIMIT_DETAIL
            )
        )

    def event_counters(self, event: str) -> Iterator[Sample]:
        """Yield the samples of the event counter for ``event``."""
        for sample in self.samples.get(_EVENTS_METRIC, ()):
            if sample.labels.get('event') == event:
                yield sample

    def info_label(self, name: str) -> str:
        """Return a label of the node's info metric, empty if missing."""
        samples = self.samples.get(_NODE_INFO_METRIC)
        return samples[0].labels.get(name, '') if samples else ''


class FleetFigures:
    """Aggregates the metrics of nodes, which are added one by one."""

    def __init__(self) -> None:
        self._samples_by_node: dict[str, _NodeSamples] = {}

    def __len__(self) -> int:
        """Return the number of nodes added."""
        return len(self._samples_by_node)

    def add(self, node: str, text: str) -> None:
        """Add the metrics of ``node``, given in the Prometheus text format.

        Raise :class:`UnreadableMetricsError` for any other text.
        """
        self._samples_by_node[node] = _parse(text)

    def versions(self) -> dict[int, tuple[str, ...]]:
        """Return nodes by the version in force, newest version first."""
        return self._nodes_by_gauge(_RULES_VERSION_METRIC)

    def store_eras(self) -> dict[int, tuple[str, ...]]:
        """Return nodes by the era of the store that they know of."""
        return self._nodes_by_gauge(_STORE_ERA_METRIC)

    def late_nodes(self) -> tuple[LateNodeFigures, ...]:
        """Return the nodes whose version isn't the newest of the fleet."""
        newest = max(self.versions(), default=0)
        figures = (
            LateNodeFigures(
                node=node,
                version=int(node_samples.gauge(_RULES_VERSION_METRIC)),
                heard_of=int(node_samples.gauge(_VERSION_HEARD_METRIC)),
                evidence_age_s=round(
                    node_samples.gauge(_EVIDENCE_AGE_METRIC), 1
                ),
                follows_store=bool(node_samples.gauge(_FOLLOWS_METRIC)),
            )
            for node, node_samples in sorted(self._samples_by_node.items())
        )
        return tuple(late for late in figures if late.version < newest)

    def evidence_ages(self) -> tuple[tuple[str, float], ...]:
        """Return nodes with the age of their evidence in s, oldest first."""
        ages = (
            (node, node_samples.gauge(_EVIDENCE_AGE_METRIC))
            for node, node_samples in self._samples_by_node.items()
        )
        return tuple(sorted(ages, key=lambda pair: pair[1], reverse=True))

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the store by reason."""
        calls: collections.Counter[str] = collections.Counter()
        for sample in self._event_counters(_STORE_CALL_EVENT):
            calls[sample.labels.get('reason', '')] += int(sample.value)
        return dict(calls)

    def targets(self) -> tuple[TargetFigures, ...]:
        """Return slots and waiting calls by service and failure domain."""
        groups: dict[tuple[str, str], list[_NodeSamples]] = {}
        for node_samples in self._samples_by_node.values():
            key = (
                node_samples.info_label('service'),
                node_samples.info_label('failure_domain'),
            )
            groups.setdefault(key, []).append(node_samples)
        return tuple(
            TargetFigures(
                service=service,
                failure_domain=domain,
                nodes=len(group),
                slots=_gauge_sum(group, 'slots'),
                in_use=_gauge_sum(group, 'slots_in_use'),
                waiting=_gauge_sum(group, 'waiting'),
            )
            for (service, domain), group in sorted(groups.items())
        )

    def announcing_targets(self) -> tuple[AnnouncingTargetFigures, ...]:
        """Return the targets that announce a limit or that they leave."""
        figures = (
            AnnouncingTargetFigures(
                node=node,
                service=node_samples.info_label('service'),
                failure_domain=node_samples.info_label('failure_domain'),
                limit_per_s=node_samples.rate_limit_per_s(),
                refused=node_samples.refused_by_rate_limit(),
                waiting=int(node_samples.gauge('waiting')),
                leaving=bool(node_samples.gauge(_LEAVING_METRIC)),
            )
            for node, node_samples in sorted(self._samples_by_node.items())
        )
        return tuple(
            target
            for target in figures
            if target.leaving or target.limit_per_s is not None
        )

    def services(self) -> tuple[ServiceFigures, ...]:
        """Return call counts and latency percentiles by service."""
        counts_by_service: dict[str, collections.Counter[str]] = {}
        for sample in self._event_counters(_CALL_ENDED_EVENT):
            counts = counts_by_service.setdefault(
                sample.labels.get('service', ''), collections.Counter()
            )
            result = _call_result(sample.labels.get('status', ''))
            counts[result] += int(sample.value)
        buckets = self._latency_buckets()
        return tuple(
            ServiceFigures(
                service=service,
                p50_ms=_percentile(buckets.get(service, {}), _P50),
                p99_ms=_percentile(buckets.get(service, {}), _P99),
                **counts_by_service.get(service, {}),
            )
            for service in sorted({*counts_by_service, *buckets})
        )

    def _nodes_by_gauge(self, metric: str) -> dict[int, tuple[str, ...]]:
        """Return nodes by a whole number, the highest number first."""
        nodes: dict[int, list[str]] = {}
        for node, node_samples in self._samples_by_node.items():
            number = int(node_samples.gauge(metric))
            nodes.setdefault(number, []).append(node)
        return {
            number: tuple(sorted(nodes[number]))
            for number in sorted(nodes, reverse=True)
        }

    def _event_counters(self, event: str) -> Iterator[Sample]:
        for node_samples in self._samples_by_node.values():
            yield from node_samples.event_counters(event)

    def _latency_buckets(self) -> dict[str, collections.Counter[float]]:
        """Return cumulative counts by bucket bound in ms, by service."""
        buckets: dict[str, collections.Counter[float]] = {}
        for node_samples in self._samples_by_node.values():
            for sample in node_samples.samples.get(_LATENCY_BUCKET_METRIC, ()):
                if sample.labels.get('event') == _CALL_ENDED_EVENT:
                    counts_by_bound = buckets.setdefault(
                        sample.labels.get('service', ''), collections.Counter()
                    )
                    counts_by_bound[float(sample.labels['le'])] += int(
                        sample.value
                    )
        return buckets


def _parse(text: str) -> _NodeSamples:
    samples: dict[str, list[Sample]] = {}
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                name = sample.name.removeprefix(_PREFIX)
                samples.setdefault(name, []).append(sample)
    except (ValueError, IndexError, KeyError) as error:
        raise UnreadableMetricsError(f'no metrics: {error!r}') from error
    if _RULES_VERSION_METRIC not in samples:
        raise UnreadableMetricsError('these are no metrics of a node')
    return _NodeSamples(samples=samples)


def _gauge_sum(group: list[_NodeSamples], name: str) -> int:
    return int(sum(node_samples.gauge(name) for node_samples in group))


def _call_result(status: str) -> str:
    if status == _REFUSAL_STATUS:
        return 'refused'
    return 'failed' if status >= _MIN_FAILURE_STATUS else 'served'


def _percentile(
    counts_by_bound: collections.Counter[float] | dict[float, int],
    fraction: float,
) -> float | None:
    """Return the smallest bound that ``fraction`` of the calls stay within."""
    if not counts_by_bound:
        return None
    threshold = counts_by_bound.get(math.inf, 0) * fraction
    return next(
        bound
        for bound in sorted(counts_by_bound)
        if counts_by_bound[bound] >= threshold
    )
