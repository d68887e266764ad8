"""Builds the parts of one node and connects them."""

import sys
from collections.abc import Callable

from fescueknot.httpio.refusals import Refused
from fescueknot.randomness import unseeded
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.arrival import ArrivalReader
from fescueknot.relay.attempt_sender import AttemptSender
from fescueknot.relay.caller_handler import CallerHandler
from fescueknot.relay.endpoints import HeartbeatHandler, ReadyHandler
from fescueknot.relay.fault_log import FaultLog
from fescueknot.relay.fleet_parts import FleetParts
from fescueknot.relay.gate_parts import GateParts
from fescueknot.relay.gauges import (
    add_gauges,
    gate_gauges,
    message_gauges,
    quota_gauges,
    suspect_gauges,
    sync_gauges,
)
from fescueknot.relay.graceful_stop import GracefulStop
from fescueknot.relay.housekeeping import Housekeeping
from fescueknot.relay.metrics import MetricsHandler, NodeMetrics
from fescueknot.relay.node_servers import NodeServers
from fescueknot.relay.observer import LogObserver
from fescueknot.relay.part_settings import (
    buffer_budget,
    caller_limits,
    leaving_bounds,
)
from fescueknot.relay.peers import PeerHandler
from fescueknot.relay.quota_check import QuotaCheck
from fescueknot.relay.request_checks import RequestChecks
from fescueknot.relay.settings import (
    RelaySettings,
    SettingsFile,
    parse_address,
)
from fescueknot.relay.settings_reloader import SettingsReloader
from fescueknot.targets.local_target import LocalTarget
from fescueknot.telemetry.decision_log import DecisionLog, LineBuffer


class NodeParts:
    """The parts of one node, connected; nothing runs yet.

    ``is_ready`` returns what the node answers to readiness checks.
    """

    def __init__(
        self,
        *,
        source: SettingsFile,
        adapter: Adapter,
        is_ready: Callable[[], bool],
    ) -> None:
        self._settings = source.current
        self._header_names = adapter.header_names
        self._buffers = buffer_budget(self._settings)
        self._metrics = _described_metrics(self._settings)
        self.log = _decision_log(self._settings)
        self.observer = LogObserver(log=self.log, metrics=self._metrics)
        self.faults = FaultLog(observer=self.observer)
        self.rng = unseeded()
        target = LocalTarget(bounds=leaving_bounds(self._settings))
        self.reloader = SettingsReloader(
            source=source, target=target, observer=self.observer
        )
        self.fleet = FleetParts(
            settings=self._settings,
            adapter=adapter,
            target=target,
            buffers=self._buffers,
            observer=self.observer,
            metrics=self._metrics,
            rng=self.rng,
        )
        self._gate = GateParts(
            settings=self._settings,
            header_names=self._header_names,
            target=target,
            buffers=self._buffers,
            fleet=self.fleet,
            observer=self.observer,
        )
        caller_handler = self._build_caller_handler()
        self.servers = NodeServers(
            callers=caller_handler,
            peers=self._build_peer_handler(),
            ready=ReadyHandler(is_ready=is_ready),
            heartbeats=HeartbeatHandler(receive=self.fleet.registrar.receive),
            metrics=MetricsHandler(metrics=self._metrics),
            report_error=self.faults.report,
            buffers=self._buffers,
            caller_limits=caller_limits(self._settings),
            on_refused=self._note_refused,
        )
        self.graceful_stop = GracefulStop(
            caller_server=self.servers.callers,
            peer_server=self.servers.peers,
            caller_handler=caller_handler,
            gatekeeper=self._gate.gatekeeper,
        )
        self.housekeeping = Housekeeping(
            peers=self.fleet.peers,
            dispatcher=self._gate.dispatcher,
            log=self.log,
            reloader=self.reloader,
        )
        self._add_gauges()

    def _build_caller_handler(self) -> CallerHandler:
        fleet = self.fleet
        gate = self._gate
        return CallerHandler(
            service=self._settings.service,
            arrivals=ArrivalReader(
                routes=fleet.routes,
                header_names=self._header_names,
                runs=gate.runs,
            ),
            checks=RequestChecks(
                routes=fleet.routes,
                header_names=self._header_names,
                suspects=fleet.suspects.requests,
                service=self._settings.service,
                levels=gate.levels,
                quota=QuotaCheck(quota=fleet.quotas.admission),
            ),
            routes=fleet.routes,
            selector=fleet.selector,
            sender=AttemptSender(
                local_address=parse_address(self._settings.ports.peers),
                selector=fleet.selector,
                gatekeeper=gate.gatekeeper,
                peers=fleet.peers,
                levels=gate.levels,
                observer=self.observer,
                on_routes_version=fleet.sync.record_version,
                on_outdated_entry=fleet.sync.query_peers,
            ),
            observer=self.observer,
            runs=gate.runs,
            levels=gate.levels,
        )

    def _build_peer_handler(self) -> PeerHandler:
        return PeerHandler(
            gatekeeper=self._gate.gatekeeper,
            header_names=self._header_names,
            on_routes_version=self.fleet.sync.record_version_by_host,
            updates_by_header=self.fleet.sync.updates_by_header(),
        )

    def _add_gauges(self) -> None:
        fleet = self.fleet
        suspects = fleet.suspects.requests
        add_gauges(
            self._metrics,
            sync_gauges(fleet.routes, fleet.directory, fleet.sync),
            message_gauges(
                self.graceful_stop, self._gate.dispatcher, self._buffers
            ),
            gate_gauges(self._gate.gatekeeper),
            suspect_gauges(suspects),
            quota_gauges(fleet.quotas),
        )
        self._metrics.labelled_gauge(
            'quarantine_left_s', 'fingerprint', suspects.held_left_s
        )
        self._metrics.labelled_gauge(
            'unanswered_requests', 'reason', self.servers.unanswered
        )
        self._metrics.labelled_gauge(
            'refused_callers', 'reason', self.servers.refused
        )

    def _note_refused(self, reason: Refused) -> None:
        self.observer.note(f'caller.refused_{reason}')


def _described_metrics(settings: RelaySettings) -> NodeMetrics:
    metrics = NodeMetrics()
    metrics.describe(
        node=settings.node,
        service=settings.service,
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
    return metrics


def _decision_log(settings: RelaySettings) -> DecisionLog:
    """Return the log, which the process writes to its standard output."""
    buffer = LineBuffer(
        descriptor=sys.stdout.fileno(),
        bytes_per_s=settings.log_bytes_per_s,
    )
    return DecisionLog(node=settings.node, buffer=buffer)
