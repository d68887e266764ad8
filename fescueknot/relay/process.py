"""One node as a process: parts, listeners, start and stop."""

import asyncio
import os
import signal
import sys

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from fescueknot.randomness import unseeded
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.caller_handler import CallerHandler, LocalNode
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.endpoints import HeartbeatHandler, ReadyHandler
from fescueknot.relay.fleet_sync import FleetNews
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.graceful_stop import GracefulStop
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.metrics import MetricsHandler, NodeMetrics
from fescueknot.relay.observer import LogObserver
from fescueknot.relay.peers import PeerHandler, PeerNodes
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.settings import (
    RelaySettings,
    RelaySettingsError,
    SettingsFile,
    parsed,
)
from fescueknot.relay.target_registrar import OwnTarget
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.local_target import LeavingBounds, LocalTarget
from fescueknot.targets.messages import TargetEntry
from fescueknot.telemetry.decision_log import DecisionLog, LineBuffer

# A full pipe gets a moment to take the last lines.
_LAST_FLUSHES = 5
_LAST_FLUSH_S = 0.02
_HOUSEKEEPING_S = 0.25
# A leaving target takes late arrivals for this share of its bound.
_LATE_ARRIVALS_SHARE = 0.5


class NodeProcess:
    """Parts of one node."""

    def __init__(self, *, source: SettingsFile, adapter: Adapter) -> None:
        self._source = source
        settings = source.current
        self._settings = settings
        buffer = LineBuffer(
            descriptor=sys.stdout.fileno(),
            bytes_per_s=settings.log_bytes_per_s,
        )
        self._log = DecisionLog(node=settings.node, buffer=buffer)
        self._metrics = NodeMetrics()
        self._observer = LogObserver(log=self._log, metrics=self._metrics)
        rng = unseeded()
        self._routes = RoutesInForce(rng=rng)
        self._directory = TargetDirectory()
        self._target = LocalTarget(bounds=_leaving_bounds(settings))
        self._dispatcher = HttpDispatcher(
            address=parsed(settings.target), header_names=adapter.header_names
        )
        self._runs = LocalRuns()
        self._levels = LevelsByRoute()
        self._gatekeeper = Gatekeeper(
            target=self._target,
            dispatcher=self._dispatcher,
            observer=self._observer,
            version=lambda: self._routes.version,
            runs=self._runs,
            levels=self._levels,
        )
        self._peers = PeerNodes(
            header_names=adapter.header_names, observer=self._observer
        )
        self._selector = TargetSelector(
            directory=self._directory,
            routes=self._routes,
            viewpoint=viewpoint_of(name=settings.node, place=settings.place),
            retry_budget=_budget(settings),
            reachability=Reachability(
                probe=self._peers.probe, on_change=self._node_changed
            ),
            rng=rng,
        )
        self._news = FleetNews(
            settings=settings,
            adapter=adapter,
            routes=self._routes,
            directory=self._directory,
            selector=self._selector,
            peers=self._peers,
            observer=self._observer,
            metrics=self._metrics,
            rng=rng,
            own_changed=self._own_entry_changed,
        )
        self._own_target = OwnTarget(
            node=settings.node,
            place=settings.place,
            peer_address=parsed(settings.ports.peers),
            gossip_port=_gossip_port(settings),
            target_address=settings.target,
            target=self._target,
            adapter=adapter,
            publisher=self._news.publisher,
            store=self._news.counted('start'),
            observer=self._observer,
        )
        caller_handler = CallerHandler(
            local_node=LocalNode(
                node=parsed(settings.ports.peers),
                service=settings.service,
            ),
            header_names=adapter.header_names,
            routes=self._routes,
            selector=self._selector,
            gatekeeper=self._gatekeeper,
            peers=self._peers,
            observer=self._observer,
            runs=self._runs,
            levels=self._levels,
            on_routes_version=self._news.hear_version,
            on_outdated_entry=self._news.outdated,
        )
        peer_handler = PeerHandler(
            gatekeeper=self._gatekeeper,
            header_names=adapter.header_names,
            on_routes_version=self._news.hear_version_of,
            updates_after=self._news.after(),
        )
        self._callers = self._server(caller_handler)
        self._nodes = self._server(peer_handler)
        self._ready = self._server(ReadyHandler(is_ready=self._is_ready))
        self._heartbeats = self._server(
            HeartbeatHandler(hear=self._own_target.hear)
        )
        self._stopping = asyncio.Event()
        self._stop = GracefulStop(
            callers=self._callers,
            nodes=self._nodes,
            caller_handler=caller_handler,
            gatekeeper=self._gatekeeper,
        )
        self._add_gauges()

    async def run(self) -> None:
        """Serve until a signal, then stop within the grace."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        tasks = [
            loop.create_task(self._learn()),
            loop.create_task(self._news.publisher.run()),
            loop.create_task(self._keep_house()),
        ]
        for task in tasks:
            task.add_done_callback(self._task_ended)
        await self._listen()
        self._observer.note('node.started', pid=os.getpid())
        await self._stopping.wait()
        self._observer.note('node.stopping', busy=self._stop.busy())
        stop = loop.create_task(self._stop.run(self._settings.bounds.grace_s))
        stop.add_done_callback(self._task_ended)
        # A fault of the stop is told, and the process ends all the same.
        await asyncio.wait((stop,))
        self._observer.note('node.stopped')
        for _ in range(_LAST_FLUSHES):
            self._log.flush()
            await asyncio.sleep(_LAST_FLUSH_S)

    def _server(self, handler: Handler) -> Server:
        return Server(handler=handler, report=self._report)

    async def _listen(self) -> None:
        ports = self._settings.ports
        for server, address in (
            (self._nodes, ports.peers),
            (self._heartbeats, ports.heartbeats),
            (self._callers, ports.callers),
            (self._ready, ports.ready),
        ):
            where = parsed(address)
            await server.listen(where.host, where.port)
        if self._settings.metrics_port:
            scraped = self._server(MetricsHandler(metrics=self._metrics))
            host = parsed(ports.ready).host
            await scraped.listen(host, self._settings.metrics_port)

    def _add_gauges(self) -> None:
        self._metrics.describe(
            node=self._settings.node,
            service=self._settings.service,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
        )
        for name, read in (
            ('rules_version', lambda: self._routes.version),
            ('targets_known', lambda: len(self._directory)),
            ('targets_revision', lambda: self._news.revision),
            ('routes_evidence_age_s', self._news.evidence_age_s),
            ('calls_in_progress', self._stop.busy),
            ('slots', lambda: self._gatekeeper.load().limit),
            ('slots_in_use', lambda: self._gatekeeper.load().in_flight),
            ('waiting', lambda: self._gatekeeper.load().waiting),
            ('target_connections_opened', lambda: self._dispatcher.opened),
        ):
            self._metrics.gauge(name, read)

    def _is_ready(self) -> bool:
        known = self._routes.is_loaded and self._directory.is_loaded
        return known and not self._stopping.is_set()

    async def _learn(self) -> None:
        """Take up what the store and the others know, then follow."""
        after_outage = await self._news.begin()
        listed = self._directory.entry_of(self._settings.node) is not None
        await self._own_target.begin(listed=listed, after_outage=after_outage)
        await self._news.run()

    def _own_entry_changed(self, entry: TargetEntry | None) -> None:
        self._own_target.entry_changed(entry)

    def _node_changed(self, node: Address, reachable: bool) -> None:
        event = 'target.node_back' if reachable else 'target.node_lost'
        self._observer.note(event, peer=str(node))

    def _reload(self) -> None:
        """Take changed bounds; addresses stay until the next start."""
        try:
            found = self._source.reread()
        except RelaySettingsError as error:
            self._observer.note('node.reload_refused', error=str(error))
            return
        self._observer.note('node.reloaded', changed=found is not None)
        if found is not None:
            self._settings = found
            self._target.bounds = _leaving_bounds(found)

    def _report(self, error: BaseException) -> None:
        self._observer.note('node.fault', error=repr(error))

    def _task_ended(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._report(task.exception())
            self._stopping.set()

    async def _keep_house(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self._peers.prune()
            self._dispatcher.prune(loop.time())
            self._log.flush()
            if self._source.is_touched():
                self._reload()


def _leaving_bounds(settings: RelaySettings) -> LeavingBounds:
    return LeavingBounds(
        accept_s=settings.bounds.drain_s * _LATE_ARRIVALS_SHARE
    )


def _gossip_port(settings: RelaySettings) -> int:
    if not settings.ports.gossip:
        return 0
    return parsed(settings.ports.gossip).port


def _budget(settings: RelaySettings) -> SharedBudgetSettings:
    return SharedBudgetSettings(
        ratio=settings.bounds.retry_ratio,
        slack=settings.bounds.retry_slack,
    )
