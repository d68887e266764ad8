"""Carries out the steps of the procedures that change a roster."""

import logging
from collections.abc import Iterable
from concurrent.futures import TimeoutError as WaitTimeoutError
from typing import Any

from fescueknot.idempotency import steps
from fescueknot.idempotency.batches import EntryBatch, Receipt
from fescueknot.idempotency.leave_procedure import LeaveProcedure
from fescueknot.idempotency.messages import Acknowledgement, Promise
from fescueknot.identity import Address, InstanceId
from fescueknot.membership.errors import RosterWriteError
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.rosterwriter import RosterWriter
from fescueknot.node import key_endpoints
from fescueknot.node.control import ControlClient
from fescueknot.node.errors import ControlError
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.runtime import Runtime

_LOG = logging.getLogger('fescueknot.keys')
_WRITE_TIMEOUT_S = 5.0


class KeySteps:
    """Does what a step says, and reports what came of it to the member."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        desk: LockedKeyMember,
        published: PublishedMembership,
        rosters: RosterWriter,
        control: ControlClient,
    ) -> None:
        self._runtime = runtime
        self._desk = desk
        self._published = published
        self._rosters = rosters
        self._control = control

    def write(self, step: steps.WriteRoster) -> None:
        """Write a roster and adopt what the store holds afterwards."""
        future = self._rosters.submit(step.roster)
        try:
            verdict = future.result(timeout=_WRITE_TIMEOUT_S)
        except (RosterWriteError, WaitTimeoutError) as error:
            _LOG.warning('keys: roster not written: %r', error)
            return
        with self._desk.member() as member:
            member.adopt(verdict.roster, now_s=self._runtime.now_s())
        if verdict.is_written:
            _LOG.info('keys: roster %d written', verdict.roster.version)

    def ask_acknowledgements(self, step: steps.RequestAcknowledgements) -> None:
        """Show the roster to others and note what they have adopted."""
        with self._desk.member() as member:
            roster = member.view.roster
        for instance in step.instances:
            answer = self._ask(
                instance, key_endpoints.ADOPT, roster, Acknowledgement
            )
            if answer is not None:
                self._note_acknowledgement(answer)

    def ask_releases(self, step: steps.RequestReleases) -> None:
        """Ask holders for the entries of the keys that this node wins."""
        request = key_endpoints.ReleaseRequest(
            joiner=self._runtime.instance,
            joined_version=step.joined_version,
        )
        for holder in step.instances:
            batches = self._ask(
                holder,
                key_endpoints.RELEASE,
                request,
                tuple[EntryBatch, ...],
            )
            self._accept(batches or ())

    def offer(self, step: steps.SendBatches, leaving: LeaveProcedure) -> None:
        """Send entries to those who own their keys next."""
        for batch in step.batches:
            receipt = self._ask(
                batch.delivery.receiver,
                key_endpoints.BATCH,
                batch,
                Receipt,
            )
            if receipt is not None:
                with self._desk.member():
                    leaving.confirm(receipt)

    def ask_promises(self) -> None:
        """Ask the other holders to keep to the roster for a lease term."""
        with self._desk.member() as member:
            request = member.gate.lease.promise_request(
                now_s=self._runtime.now_s()
            )
            holders = member.view.roster.holders
        for holder in holders:
            if holder != self._runtime.instance:
                promise = self._ask(
                    holder,
                    key_endpoints.PROMISE,
                    request,
                    Promise | None,
                )
                self._note_promise(promise)

    def is_reachable(self, instance: InstanceId) -> bool:
        """Ask another member for its version; return whether it answers."""
        with self._desk.member() as member:
            version = member.view.version
        answer = self._ask(
            instance,
            key_endpoints.VERSION,
            version,
            Acknowledgement,
        )
        if answer is not None:
            self._note_acknowledgement(answer)
        return answer is not None

    def _note_promise(self, promise: Promise | None) -> None:
        if promise is not None:
            with self._desk.member() as member:
                member.gate.lease.add_promise(promise)

    def _note_acknowledgement(self, answer: Acknowledgement) -> None:
        with self._desk.member() as member:
            member.seal.add_acknowledgement(answer, now_s=self._runtime.now_s())

    def _accept(self, batches: Iterable[EntryBatch]) -> None:
        for batch in batches:
            with self._desk.member() as member:
                member.handover.accept(batch, now_s=self._runtime.now_s())

    def _ask(
        self,
        instance: InstanceId,
        name: str,
        message: Any,
        answer_type: Any,
    ) -> Any:
        peer = self._address(instance)
        if peer is None:
            return None
        try:
            return self._control.call(peer, name, message, answer_type)
        except ControlError as error:
            _LOG.info('keys: %s gave no answer to %s: %s', peer, name, error)
            return None

    def _address(self, instance: InstanceId) -> Address | None:
        for known in self._published.instances(self._runtime.service):
            if known.instance == instance:
                return known.peer
        return None
