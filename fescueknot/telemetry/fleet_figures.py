"""Figures of a fleet, added up from the metrics of its nodes."""

import collections
import math
from collections.abc import Iterator

import msgspec
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from fescueknot.telemetry.errors import UnreadableMetricsError

_PREFIX = 'fescueknot_'
_EVENTS = 'events_total'
_BUCKET = 'latency_ms_bucket'
_INFO = 'node_info'
_VERSION = 'rules_version'
_AGE = 'routes_evidence_age_s'
_CALL_ENDED = 'call.ended'
_STORE_CALL = 'store.call'
_REFUSED = '503'
_FIRST_FAILURE = '500'
_MEDIAN = 0.5
_NINETY_NINTH = 0.99


class ServiceFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of one service at all nodes; times are bounds of buckets."""

    service: str
    served: int = 0
    refused: int = 0
    failed: int = 0
    p50_ms: float | None = None
    p99_ms: float | None = None


class TargetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Slots of the targets of one service in one failure domain."""

    service: str
    failure_domain: str
    nodes: int
    slots: int
    in_use: int
    waiting: int


class _Reading(msgspec.Struct, frozen=True, kw_only=True):
    """Samples of one node, by name without the prefix."""

    samples: dict[str, list[Sample]]

    def number(self, name: str) -> float:
        """Return a gauge, 0 for one that the node doesn't have."""
        found = self.samples.get(name)
        return found[0].value if found else 0

    def events(self, event: str) -> Iterator[Sample]:
        """Yield the counters of an event."""
        for sample in self.samples.get(_EVENTS, ()):
            if sample.labels.get('event') == event:
                yield sample

    def label(self, name: str) -> str:
        """Return what the node says of itself, empty for nothing."""
        found = self.samples.get(_INFO)
        return found[0].labels.get(name, '') if found else ''


class FleetFigures:
    """Takes the metrics of nodes, one by one."""

    def __init__(self) -> None:
        self._readings: dict[str, _Reading] = {}

    def __len__(self) -> int:
        """Return how many nodes were read."""
        return len(self._readings)

    def add(self, node: str, text: str) -> None:
        """Take one node's metrics; raise :class:`UnreadableMetricsError`."""
        self._readings[node] = _read(text)

    def versions(self) -> dict[int, tuple[str, ...]]:
        """Return the nodes by the version in force, the newest first."""
        nodes: dict[int, list[str]] = {}
        for node, reading in self._readings.items():
            nodes.setdefault(int(reading.number(_VERSION)), []).append(node)
        return {
            version: tuple(sorted(nodes[version]))
            for version in sorted(nodes, reverse=True)
        }

    def evidence_ages(self) -> tuple[tuple[str, float], ...]:
        """Return nodes and ages of their beliefs in s, the oldest first."""
        ages = (
            (node, reading.number(_AGE))
            for node, reading in self._readings.items()
        )
        return tuple(sorted(ages, key=lambda pair: pair[1], reverse=True))

    def store_calls(self) -> dict[str, int]:
        """Return calls to the store by reason."""
        calls: collections.Counter[str] = collections.Counter()
        for sample in self._events(_STORE_CALL):
            calls[sample.labels.get('reason', '')] += int(sample.value)
        return dict(calls)

    def targets(self) -> tuple[TargetFigures, ...]:
        """Return slots by service and failure domain."""
        groups: dict[tuple[str, str], list[_Reading]] = {}
        for reading in self._readings.values():
            where = (reading.label('service'), reading.label('failure_domain'))
            groups.setdefault(where, []).append(reading)
        return tuple(
            TargetFigures(
                service=service,
                failure_domain=domain,
                nodes=len(group),
                slots=_total(group, 'slots'),
                in_use=_total(group, 'slots_in_use'),
                waiting=_total(group, 'waiting'),
            )
            for (service, domain), group in sorted(groups.items())
        )

    def services(self) -> tuple[ServiceFigures, ...]:
        """Return calls and times by service."""
        ends: dict[str, collections.Counter[str]] = {}
        for sample in self._events(_CALL_ENDED):
            ended = ends.setdefault(
                sample.labels.get('service', ''), collections.Counter()
            )
            kind = _kind(sample.labels.get('status', ''))
            ended[kind] += int(sample.value)
        buckets = self._buckets()
        return tuple(
            ServiceFigures(
                service=service,
                p50_ms=_percentile(buckets.get(service, {}), _MEDIAN),
                p99_ms=_percentile(buckets.get(service, {}), _NINETY_NINTH),
                **ends.get(service, {}),
            )
            for service in sorted({*ends, *buckets})
        )

    def _events(self, event: str) -> Iterator[Sample]:
        for reading in self._readings.values():
            yield from reading.events(event)

    def _buckets(self) -> dict[str, collections.Counter[float]]:
        """Return how many calls took at most so long, by service."""
        buckets: dict[str, collections.Counter[float]] = {}
        for reading in self._readings.values():
            for sample in reading.samples.get(_BUCKET, ()):
                if sample.labels.get('event') == _CALL_ENDED:
                    below = buckets.setdefault(
                        sample.labels.get('service', ''), collections.Counter()
                    )
                    below[float(sample.labels['le'])] += int(sample.value)
        return buckets


def _read(text: str) -> _Reading:
    samples: dict[str, list[Sample]] = {}
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                name = sample.name.removeprefix(_PREFIX)
                samples.setdefault(name, []).append(sample)
    except (ValueError, IndexError, KeyError) as error:
        raise UnreadableMetricsError(f'no metrics: {error!r}') from error
    if _VERSION not in samples:
        raise UnreadableMetricsError('these are no metrics of a node')
    return _Reading(samples=samples)


def _total(group: list[_Reading], name: str) -> int:
    return int(sum(reading.number(name) for reading in group))


def _kind(status: str) -> str:
    if status == _REFUSED:
        return 'refused'
    return 'failed' if status >= _FIRST_FAILURE else 'served'


def _percentile(
    below: collections.Counter[float] | dict[float, int], part: float
) -> float | None:
    """Return the first bound that so many calls are not above."""
    if not below:
        return None
    wanted = below.get(math.inf, 0) * part
    return next(bound for bound in sorted(below) if below[bound] >= wanted)
