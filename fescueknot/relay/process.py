"""Assembles, starts and stops the process of one node."""

import asyncio
import functools
import os
import sys

from fescueknot.identity import Address
from fescueknot.randomness import unseeded
from fescueknot.relay import process_signals
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.attempt_sender import AttemptSender
from fescueknot.relay.caller_handler import CallerHandler
from fescueknot.relay.departure_parts import DepartureParts
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.endpoints import HeartbeatHandler, ReadyHandler
from fescueknot.relay.fault_log import FaultLog
from fescueknot.relay.fleet_sync import FleetSync
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.gauges import (
    add_gauges,
    gate_gauges,
    message_gauges,
    suspect_gauges,
    sync_gauges,
)
from fescueknot.relay.gossip_port import GossipPort
from fescueknot.relay.graceful_stop import GracefulStop
from fescueknot.relay.housekeeping import Housekeeping
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.load_reporter import LoadReporter
from fescueknot.relay.metrics import MetricsHandler, NodeMetrics
from fescueknot.relay.node_servers import NodeServers
from fescueknot.relay.observer import LogObserver
from fescueknot.relay.part_settings import (
    buffer_budget,
    gossip_address,
    leaving_bounds,
    retry_budget,
)
from fescueknot.relay.peers import PeerHandler, PeerNodes
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.settings import SettingsFile, parse_address
from fescueknot.relay.settings_reloader import SettingsReloader
from fescueknot.relay.supervisor import Supervisor
from fescueknot.relay.suspect_parts import SuspectParts
from fescueknot.relay.target_registrar import TargetRegistrar
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.departures import Departure
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.local_target import LocalTarget
from fescueknot.telemetry.decision_log import DecisionLog, LineBuffer


class NodeProcess:
    """Components of one node and the tasks that run them."""

    def __init__(self, *, source: SettingsFile, adapter: Adapter) -> None:
        settings = source.current
        self._settings = settings
        buffer = LineBuffer(
            descriptor=sys.stdout.fileno(),
            bytes_per_s=settings.log_bytes_per_s,
        )
        self._log = DecisionLog(node=settings.node, buffer=buffer)
        self._metrics = NodeMetrics()
        self._metrics.describe(
            node=settings.node,
            service=settings.service,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        self._observer = LogObserver(log=self._log, metrics=self._metrics)
        self._faults = FaultLog(observer=self._observer)
        rng = unseeded()
        self._supervisor = Supervisor(observer=self._observer, rng=rng)
        self._routes = RoutesInForce(rng=rng)
        self._directory = TargetDirectory()
        self._target = LocalTarget(bounds=leaving_bounds(settings))
        self._reloader = SettingsReloader(
            source=source, target=self._target, observer=self._observer
        )
        self._buffers = buffer_budget(settings)
        self._dispatcher = HttpDispatcher(
            address=parse_address(settings.target),
            header_names=adapter.header_names,
            buffers=self._buffers,
        )
        self._suspects = SuspectParts(
            settings=settings,
            directory=self._directory,
            observer=self._observer,
            rng=rng,
        )
        self._departures = DepartureParts(
            settings=settings,
            directory=self._directory,
            observer=self._observer,
            rng=rng,
            on_departures=self._learn_departures,
        )
        self._runs = LocalRuns()
        self._levels = LevelsByRoute()
        self._gatekeeper = Gatekeeper(
            target=self._target,
            dispatcher=self._dispatcher,
            observer=self._observer,
            runs=self._runs,
            suspects=self._suspects.requests,
            load_reporter=LoadReporter(
                version=lambda: self._routes.version,
                runs=self._runs,
                levels=self._levels,
            ),
            on_target_leaving=lambda: self._registrar.publish(),
        )
        self._peers = PeerNodes(
            header_names=adapter.header_names,
            observer=self._observer,
            buffers=self._buffers,
        )
        self._selector = TargetSelector(
            directory=self._directory,
            routes=self._routes,
            viewpoint=viewpoint_of(name=settings.node, place=settings.place),
            retry_budget=retry_budget(settings),
            reachability=Reachability(
                probe=self._peers.probe, on_change=self._node_changed
            ),
            rng=rng,
            departures=self._departures.book,
        )
        self._fleet_sync = FleetSync(
            settings=settings,
            adapter=adapter,
            port=GossipPort(),
            routes=self._routes,
            directory=self._directory,
            selector=self._selector,
            peers=self._peers,
            observer=self._observer,
            metrics=self._metrics,
            rng=rng,
            exchanges=(self._suspects.exchange, self._departures.exchange),
            on_local_entry_change=lambda entry: self._registrar.entry_changed(
                entry
            ),
            on_new_era=self._suspects.write_again,
        )
        self._registrar = TargetRegistrar(
            node=settings.node,
            place=settings.place,
            peer_address=parse_address(settings.ports.peers),
            gossip_port=gossip_address(settings).port,
            target_address=settings.target,
            target=self._target,
            adapter=adapter,
            publisher=self._fleet_sync.publisher,
            store=self._fleet_sync.counted_store('start'),
            departures=self._departures.exchange,
            observer=self._observer,
        )
        caller_handler = CallerHandler(
            service=settings.service,
            header_names=adapter.header_names,
            routes=self._routes,
            selector=self._selector,
            sender=AttemptSender(
                local_address=parse_address(settings.ports.peers),
                selector=self._selector,
                gatekeeper=self._gatekeeper,
                peers=self._peers,
                levels=self._levels,
                observer=self._observer,
                on_routes_version=self._fleet_sync.record_version,
                on_outdated_entry=self._fleet_sync.query_peers,
            ),
            observer=self._observer,
            runs=self._runs,
            suspects=self._suspects.requests,
            levels=self._levels,
        )
        peer_handler = PeerHandler(
            gatekeeper=self._gatekeeper,
            header_names=adapter.header_names,
            on_routes_version=self._fleet_sync.record_version_by_host,
            updates_by_header=self._fleet_sync.updates_by_header(),
        )
        self._servers = NodeServers(
            callers=caller_handler,
            peers=peer_handler,
            ready=ReadyHandler(is_ready=self._is_ready),
            heartbeats=HeartbeatHandler(receive=self._registrar.receive),
            metrics=MetricsHandler(metrics=self._metrics),
            report_error=self._faults.report,
            buffers=self._buffers,
        )
        self._stop_requested = asyncio.Event()
        self._graceful_stop = GracefulStop(
            caller_server=self._servers.callers,
            peer_server=self._servers.peers,
            caller_handler=caller_handler,
            gatekeeper=self._gatekeeper,
        )
        self._housekeeping = Housekeeping(
            peers=self._peers,
            dispatcher=self._dispatcher,
            log=self._log,
            reloader=self._reloader,
        )
        self._add_gauges()

    async def run(self) -> None:
        """Serve until a signal, then stop within the grace period."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._faults.report_unhandled)
        process_signals.install(
            loop, stop=self._stop_requested.set, reload=self._reloader.reload
        )
        self._start_tasks()
        await self._servers.listen(self._settings)
        self._observer.note('node.started', pid=os.getpid())
        if process_signals.was_held():
            self._reloader.reload()
        await self._stop_requested.wait()
        self._observer.note(
            'node.stopping', busy=self._graceful_stop.in_progress()
        )
        stop_task = loop.create_task(
            self._graceful_stop.run(self._reloader.current.bounds.grace_s)
        )
        stop_task.add_done_callback(self._task_ended)
        await asyncio.wait((stop_task,))
        self._observer.note(
            'node.stopped', unanswered=dict(self._servers.unanswered())
        )
        await self._housekeeping.finish()
        await self._graceful_stop.settle()
        self._log.flush()

    def _start_tasks(self) -> None:
        """Start the tasks that run until the process ends."""
        works = {
            'synchronisation': self._synchronise,
            'entry publisher': self._fleet_sync.publisher.run,
            'quarantine archive': functools.partial(
                self._suspects.run_archive,
                self._fleet_sync.counted_store('quarantine'),
            ),
            'housekeeping': self._housekeeping.run,
        }
        for name, work in works.items():
            task = self._supervisor.start(name, work)
            task.add_done_callback(self._task_ended)

    def _add_gauges(self) -> None:
        suspects = self._suspects.requests
        add_gauges(
            self._metrics,
            sync_gauges(self._routes, self._directory, self._fleet_sync),
            message_gauges(
                self._graceful_stop, self._dispatcher, self._buffers
            ),
            gate_gauges(self._gatekeeper),
            suspect_gauges(suspects),
        )
        self._metrics.labelled_gauge(
            'quarantine_left_s', 'fingerprint', suspects.held_left_s
        )
        self._metrics.labelled_gauge(
            'unanswered_requests', 'reason', self._servers.unanswered
        )

    def _is_ready(self) -> bool:
        if self._stop_requested.is_set():
            return False
        return self._routes.is_loaded and self._directory.is_loaded

    async def _synchronise(self) -> None:
        """Read the initial state from the store, then keep it up to date."""
        await self._fleet_sync.start()
        listed = self._directory.entry_of(self._settings.node) is not None
        await self._registrar.start(listed=listed)
        await self._fleet_sync.run()

    def _learn_departures(self, departures: tuple[Departure, ...]) -> None:
        self._registrar.learn_departures(departures)
        now_s = asyncio.get_running_loop().time()
        self._selector.exclude(departures, now_s)

    def _node_changed(self, node: Address, reachable: bool) -> None:
        event = 'target.node_back' if reachable else 'target.node_lost'
        self._observer.note(event, peer=str(node))

    def _task_ended(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._faults.report(task.exception())
            self._stop_requested.set()
