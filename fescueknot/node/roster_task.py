"""The task that keeps this node on the roster of its service.

It joins the roster, renews the lease in an outage of the store, takes over
from failed members and resumes after a suspension. On a planned stop it hands
the node's entries over.
"""

import logging
import threading
import types
from collections.abc import Iterator
from concurrent.futures import Executor, Future

from fescueknot.idempotency import steps
from fescueknot.idempotency.join_procedure import JoinProcedure
from fescueknot.idempotency.leave_procedure import LeaveProcedure
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.procedures import RosterProcedure
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.task_start import start_task
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.member_monitor import MemberMonitor
from fescueknot.node.runtime import Runtime
from fescueknot.node.step_executor import StepExecutor
from fescueknot.roster import MemberState

_LOG = logging.getLogger('fescueknot.keys')
_PERIOD_S = 0.5
_RENEW_FRACTION = 0.5
_SKIP_HANDOVER_FRACTION = 0.34


class RosterTask:
    """Runs the procedures of this node's key member, step by step."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        key_member: LockedKeyMember,
        published: PublishedMembership,
        step_executor: StepExecutor,
    ) -> None:
        self._runtime = runtime
        self._key_member = key_member
        self._published = published
        self._step_executor = step_executor
        self._stopped = threading.Event()
        self._leaving: LeaveProcedure | None = None
        self._joining: JoinProcedure | None = None
        self._monitor = MemberMonitor(
            runtime=runtime,
            published=published,
            step_executor=step_executor,
        )
        self._handlers = types.MappingProxyType(
            {
                steps.WriteRoster: self._step_executor.write_roster,
                steps.RequestAcknowledgements: self._step_executor.request_acks,
                steps.RequestReleases: self._step_executor.request_releases,
                steps.SendBatches: self._send_batches,
            }
        )

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``."""
        return start_task(executor, 'keys', self._run)

    def stop(self) -> None:
        """Stop the task."""
        self._stopped.set()

    def leave(self, *, grace_s: float) -> bool:
        """Hand all entries over and leave the roster.

        If the hand-over is not complete after two thirds of the grace period,
        leave the roster without it: the older keys then become unknown. Return
        False if the node is still on the roster after the grace period.
        """
        with self._key_member.locked() as member:
            self._leaving = member.leaving()
        pause = threading.Event()
        deadline_s = self._runtime.now_s() + grace_s
        skip_handover_s = deadline_s - grace_s * _SKIP_HANDOVER_FRACTION
        while self._runtime.now_s() < deadline_s:
            if isinstance(self._advance(self._leaving), steps.Finished):
                return True
            if self._runtime.now_s() >= skip_handover_s:
                self._leaving.skip_handover()
            pause.wait(_PERIOD_S)
        return False

    def _run(self) -> None:
        while not self._stopped.wait(_PERIOD_S):
            if self._leaving is None:
                self._run_round()

    def _run_round(self) -> None:
        try:
            self._advance_procedures()
        except Exception:
            _LOG.exception('keys: a round of the roster task failed')

    def _advance_procedures(self) -> None:
        self._renew_lease()
        with self._key_member.locked() as member:
            probed = self._monitor.member_to_probe(member)
        self._monitor.probe(probed)
        for procedure in self._due_procedures():
            self._advance(procedure)

    def _renew_lease(self) -> None:
        """Request promises when the last reading of the store is old."""
        with self._key_member.locked() as member:
            read_at_s = self._published.status.current_at_s
            age_s = self._runtime.now_s() - read_at_s
            serving = member.view.state is MemberState.SERVING
            renew_s = member.terms.lease_s * _RENEW_FRACTION
        if serving and age_s > renew_s:
            self._step_executor.request_promises()

    def _due_procedures(self) -> tuple[RosterProcedure, ...]:
        """Return the procedures that are due now."""
        with self._key_member.locked() as member:
            suspects = self._monitor.suspects(member)
            procedures = list(self._local_procedures(member))
            procedures.extend(map(member.takeover, suspects))
        return tuple(procedures)

    def _local_procedures(self, member: KeyMember) -> Iterator[RosterProcedure]:
        if member.view.state is MemberState.SUSPENDED:
            yield member.resuming()
        elif member.view.state is not MemberState.SERVING:
            self._joining = self._joining or member.joining()
            yield self._joining

    def _advance(self, procedure: RosterProcedure) -> steps.Step:
        with self._key_member.locked():
            step = procedure.next_step(
                now_s=self._runtime.now_s(),
                wall_s=self._runtime.wall_s(),
            )
        handler = self._handlers.get(type(step))
        if handler is not None:
            handler(step)
        return step

    def _send_batches(self, step: steps.SendBatches) -> None:
        self._step_executor.send_batches(step, self._leaving)
