"""Gauges of a node's parts."""

import types
from collections.abc import Callable, Mapping

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.objectapi.revisions import counter_of
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.fleet_sync import FleetSync
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.graceful_stop import GracefulStop
from fescueknot.relay.metrics import NodeMetrics
from fescueknot.relay.quota_parts import QuotaParts
from fescueknot.relay.suspect_requests import SuspectRequests
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory

_Gauges = Mapping[str, Callable[[], float]]


def add_gauges(metrics: NodeMetrics, *groups: _Gauges) -> None:
    """Add the gauges of all groups to the metrics of a node."""
    for group in groups:
        for name, read in group.items():
            metrics.gauge(name, read)


def gate_gauges(gatekeeper: Gatekeeper) -> _Gauges:
    """Return gauges of the gate beside the target, by name."""
    announced = gatekeeper.announced
    return types.MappingProxyType(
        {
            'slots': lambda: gatekeeper.load().limit,
            'slots_in_use': lambda: gatekeeper.load().in_flight,
            'waiting': lambda: gatekeeper.load().waiting,
            'target_rate_limit_per_s': lambda: announced.rate_limit_per_s,
            'target_leaving': lambda: announced.is_leaving,
        }
    )


def message_gauges(
    stop: GracefulStop, dispatcher: HttpDispatcher, buffers: BufferBudget
) -> _Gauges:
    """Return gauges of the messages that a node holds, by name."""
    return types.MappingProxyType(
        {
            'calls_in_progress': stop.in_progress,
            'target_connections_opened': lambda: dispatcher.connections_opened,
            'buffered_bytes': lambda: buffers.used_bytes,
        }
    )


def sync_gauges(
    routes: RoutesInForce, directory: TargetDirectory, fleet_sync: FleetSync
) -> _Gauges:
    """Return gauges of what this node knows of the fleet, by name."""
    return types.MappingProxyType(
        {
            'rules_version': lambda: routes.version,
            'rules_version_heard': lambda: fleet_sync.status.newest_heard,
            'follows_store': lambda: fleet_sync.status.is_following,
            'targets_known': lambda: len(directory),
            'targets_revision': lambda: counter_of(fleet_sync.revision),
            'store_era': lambda: fleet_sync.store_era,
            'routes_evidence_age_s': fleet_sync.status.age_s,
        }
    )


def suspect_gauges(suspects: SuspectRequests) -> _Gauges:
    """Return gauges of requests that are suspected of crashing targets."""
    return types.MappingProxyType(
        {
            'suspect_requests': lambda: suspects.count,
            'quarantined_requests': lambda: len(suspects.held()),
        }
    )


def quota_gauges(quotas: QuotaParts) -> _Gauges:
    """Return decisions on quotas, queries and owned shards, by name."""
    client = quotas.client
    return types.MappingProxyType(
        {
            'quota_granted': lambda: client.granted,
            'quota_refused': lambda: client.refused,
            'quota_unknown': lambda: client.unknown,
            'quota_queries': lambda: client.queries_sent,
            'quota_shards_owned': quotas.owned_shards,
        }
    )
