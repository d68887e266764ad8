"""The task that keeps this node's place on the roster of its service.

It joins, renews the lease in an outage of the store, takes over from lost
members and resumes after a suspension. On a planned stop it hands over.
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
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.member_monitor import KeyWatch
from fescueknot.node.runtime import Runtime
from fescueknot.node.step_executor import KeySteps
from fescueknot.roster import MemberState

_LOG = logging.getLogger('fescueknot.keys')
_PERIOD_S = 0.5
_RENEW_SHARE = 0.5
_HURRY_SHARE = 0.34


class KeyTask:
    """Runs the procedures of this node's key member, step by step."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        desk: LockedKeyMember,
        published: PublishedMembership,
        key_steps: KeySteps,
    ) -> None:
        self._runtime = runtime
        self._desk = desk
        self._published = published
        self._steps = key_steps
        self._stopped = threading.Event()
        self._leaving: LeaveProcedure | None = None
        self._joining: JoinProcedure | None = None
        self._watch = KeyWatch(
            runtime=runtime,
            published=published,
            key_steps=key_steps,
        )
        self._handlers = types.MappingProxyType(
            {
                steps.WriteRoster: self._steps.write,
                steps.RequestAcknowledgements: self._steps.ask_acknowledgements,
                steps.RequestReleases: self._steps.ask_releases,
                steps.SendBatches: self._offer,
            }
        )

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``."""
        return executor.submit(self._run)

    def stop(self) -> None:
        """End the task."""
        self._stopped.set()

    def leave(self, *, grace_s: float) -> bool:
        """Hand all entries over and leave the roster.

        When two thirds of the grace have passed without an heir, the roster is
        left with a loss. Return False when the whole grace has passed.
        """
        with self._desk.member() as member:
            self._leaving = member.leaving()
        waited = threading.Event()
        ends_s = self._runtime.now_s() + grace_s
        hurry_s = ends_s - grace_s * _HURRY_SHARE
        while self._runtime.now_s() < ends_s:
            if isinstance(self._advance(self._leaving), steps.Finished):
                return True
            if self._runtime.now_s() >= hurry_s:
                self._leaving.skip_handover()
            waited.wait(_PERIOD_S)
        return False

    def _run(self) -> None:
        while not self._stopped.wait(_PERIOD_S):
            if self._leaving is None:
                self._turn()

    def _turn(self) -> None:
        try:
            self._keep_place()
        except Exception:
            _LOG.exception('keys: a turn failed')

    def _keep_place(self) -> None:
        self._renew()
        with self._desk.member() as member:
            watched = self._watch.watched(member)
        self._watch.ask(watched)
        for procedure in self._due():
            self._advance(procedure)

    def _renew(self) -> None:
        """Ask for promises when the evidence of the store grows old."""
        with self._desk.member() as member:
            read_at_s = self._published.status.current_at_s
            age_s = self._runtime.now_s() - read_at_s
            serving = member.view.state is MemberState.SERVING
            renew_s = member.terms.lease_s * _RENEW_SHARE
        if serving and age_s > renew_s:
            self._steps.ask_promises()

    def _due(self) -> tuple[RosterProcedure, ...]:
        """Return what is to be done about the roster now."""
        with self._desk.member() as member:
            suspects = self._watch.suspects(member)
            procedures = list(self._own_procedures(member))
            procedures.extend(map(member.takeover, suspects))
        return tuple(procedures)

    def _own_procedures(self, member: KeyMember) -> Iterator[RosterProcedure]:
        if member.view.state is MemberState.SUSPENDED:
            yield member.resuming()
        elif member.view.state is not MemberState.SERVING:
            self._joining = self._joining or member.joining()
            yield self._joining

    def _advance(self, procedure: RosterProcedure) -> steps.Step:
        with self._desk.member():
            step = procedure.next_step(
                now_s=self._runtime.now_s(),
                wall_s=self._runtime.wall_s(),
            )
        handler = self._handlers.get(type(step))
        if handler is not None:
            handler(step)
        return step

    def _offer(self, step: steps.SendBatches) -> None:
        self._steps.offer(step, self._leaving)
