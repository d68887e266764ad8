"""One node: the order in which it starts and stops."""

import logging
import threading
from concurrent.futures import ThreadPoolExecutor

from fescueknot.membership.announcements import InstanceState
from fescueknot.node.call_limiter import CallLimiter
from fescueknot.node.node_components import assemble
from fescueknot.node.ops import OpsActions, OpsHandler
from fescueknot.node.ops_views import NodeViews
from fescueknot.node.runtime import Runtime
from fescueknot.node.servers import HttpServer, build_servers
from fescueknot.node.target_state import TargetAnnouncement, TargetState
from fescueknot.settings.model import NodeSettings

_LOG = logging.getLogger('fescueknot.node')
_WATCH_TARGET_S = 0.5
# Callers stop sending within two seconds of the announcement.
_NOTICE_S = 2.0
_TASK_THREADS = 8


class Daemon:
    """A node that can be started once."""

    def __init__(self, *, settings: NodeSettings, runtime: Runtime) -> None:
        self._grace_s = settings.timing.drain_grace_s
        self._runtime = runtime
        self._parts = assemble(settings=settings, runtime=runtime)
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
        self._parts.rules.start(self._executor)
        self._parts.membership.start(self._executor)
        self._parts.keys.task.start(self._executor)
        _LOG.info('node: %s is up', self._runtime.instance)

    def run_until_drained(self) -> None:
        """Follow the target's state until a drain is asked for, then stop."""
        while not self._stopping.wait(_WATCH_TARGET_S):
            self._follow_target()
            if self._parts.membership.is_superseded():
                _LOG.error('node: a later start of this name is running')
                self._stopping.set()
        self._leave()
        self._stop_tasks()
        _LOG.info('node: stopped')

    def drain(self) -> None:
        """Ask for a planned stop."""
        self._stopping.set()

    def _follow_target(self) -> None:
        state = InstanceState.DRAINING
        if self._target.accepts_work(self._runtime.now_s()):
            state = InstanceState.SERVING
        self._parts.membership.announce(state)

    def _leave(self) -> None:
        _LOG.info('node: leaving')
        self._parts.membership.announce(InstanceState.DRAINING)
        threading.Event().wait(_NOTICE_S)
        self._close(self._parts.work.limiter)
        self._close(self._parts.limiter)
        if not self._parts.keys.task.leave(grace_s=self._grace_s):
            _LOG.warning('node: keys not handed over, they become unknown')
        self._parts.membership.announce(InstanceState.LEFT)

    def _close(self, limiter: CallLimiter) -> None:
        """Take no new calls and let those in progress finish."""
        limiter.close()
        if not limiter.wait_idle(timeout_s=self._grace_s):
            left = limiter.in_progress
            _LOG.warning('node: %d calls cut off after the grace', left)

    def _stop_tasks(self) -> None:
        self._parts.rules.stop()
        self._parts.keys.task.stop()
        self._parts.membership.stop()
        for server in self._servers:
            server.stop()
        self._parts.work.gate.close()
        self._executor.shutdown()

    def _build_servers(
        self,
        settings: NodeSettings,
    ) -> tuple[HttpServer, ...]:
        views = NodeViews(runtime=self._runtime, parts=self._parts)
        ops = OpsHandler(
            actions=OpsActions(
                status=views.status,
                targets=views.targets,
                explain=self._parts.rules.match,
                announce=self._hear_target,
                drain=self.drain,
            ),
            telemetry=self._parts.telemetry,
        )
        return build_servers(
            settings,
            entry=self._parts.entry.answer,
            peer=self._parts.peer.answer,
            ops=ops.answer,
        )

    def _hear_target(self, announcement: TargetAnnouncement) -> None:
        self._target.record(announcement, self._runtime.now_s())
