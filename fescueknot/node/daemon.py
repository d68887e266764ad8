"""Starts and stops the components of one node in order."""

import logging
import threading
from concurrent.futures import ThreadPoolExecutor

from fescueknot.membership.announcements import InstanceState
from fescueknot.node.call_limiter import CallLimiter
from fescueknot.node.node_components import build_node_components
from fescueknot.node.ops import OpsActions, OpsHandler
from fescueknot.node.ops_views import NodeViews
from fescueknot.node.runtime import Runtime
from fescueknot.node.servers import HttpServer, build_servers
from fescueknot.node.target_state import TargetAnnouncement, TargetState
from fescueknot.settings.model import NodeSettings

_LOG = logging.getLogger('fescueknot.node')
_TARGET_CHECK_PERIOD_S = 0.5
# Other nodes stop sending calls within 2 s of the announcement.
_DRAIN_NOTICE_S = 2.0
_TASK_THREADS = 8


class Daemon:
    """A node that can be started once."""

    def __init__(self, *, settings: NodeSettings, runtime: Runtime) -> None:
        self._grace_s = settings.timing.drain_grace_s
        self._runtime = runtime
        self._components = build_node_components(
            settings=settings, runtime=runtime
        )
        self._target = TargetState()
        self._stopping = threading.Event()
        self._executor = ThreadPoolExecutor(
            max_workers=_TASK_THREADS,
            thread_name_prefix='task',
        )
        self._servers = self._build_servers(settings)

    def start(self) -> None:
        """Open the ports and start the tasks."""
        for server in self._servers:
            server.start()
        self._components.rules.start(self._executor)
        self._components.membership.start(self._executor)
        self._components.keys.roster_task.start(self._executor)
        _LOG.info('node: %s started', self._runtime.instance)

    def run_until_drained(self) -> None:
        """Announce the target's state until a drain is requested; stop."""
        while not self._stopping.wait(_TARGET_CHECK_PERIOD_S):
            self._announce_target_state()
            if self._components.membership.is_superseded():
                _LOG.error(
                    'node: stopping, a later start of this instance is running'
                )
                self._stopping.set()
        self._leave_fleet()
        self._stop_tasks()
        _LOG.info('node: stopped')

    def drain(self) -> None:
        """Request a planned stop."""
        self._stopping.set()

    def _announce_target_state(self) -> None:
        state = InstanceState.DRAINING
        if self._target.accepts_work(self._runtime.now_s()):
            state = InstanceState.SERVING
        self._components.membership.announce(state)

    def _leave_fleet(self) -> None:
        _LOG.info('node: leaving the fleet')
        self._components.membership.announce(InstanceState.DRAINING)
        threading.Event().wait(_DRAIN_NOTICE_S)
        self._finish_calls(self._components.work.limiter)
        self._finish_calls(self._components.limiter)
        if not self._components.keys.roster_task.leave(grace_s=self._grace_s):
            _LOG.warning(
                'node: keys not handed over, their outcomes become unknown'
            )
        self._components.membership.announce(InstanceState.LEFT)

    def _finish_calls(self, limiter: CallLimiter) -> None:
        """Refuse new calls; wait for running calls in the grace period."""
        limiter.close()
        if not limiter.wait_idle(timeout_s=self._grace_s):
            unfinished = limiter.in_progress
            _LOG.warning(
                'node: %d calls cut off after the grace period', unfinished
            )

    def _stop_tasks(self) -> None:
        self._components.rules.stop()
        self._components.keys.roster_task.stop()
        self._components.membership.stop()
        for server in self._servers:
            server.stop()
        self._components.work.gate.close()
        self._executor.shutdown()

    def _build_servers(
        self,
        settings: NodeSettings,
    ) -> tuple[HttpServer, ...]:
        views = NodeViews(runtime=self._runtime, components=self._components)
        ops = OpsHandler(
            actions=OpsActions(
                status=views.status,
                targets=views.targets,
                explain=self._components.rules.match,
                announce=self._record_target_state,
                drain=self.drain,
            ),
            telemetry=self._components.telemetry,
        )
        return build_servers(
            settings,
            entry=self._components.entry.answer,
            peer=self._components.peer.answer,
            ops=ops.answer,
        )

    def _record_target_state(self, announcement: TargetAnnouncement) -> None:
        self._target.record(announcement, self._runtime.now_s())
