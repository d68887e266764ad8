"""Executes the steps of the procedures that change a roster."""

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


class StepExecutor:
    """Executes steps and reports the results to the key member."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        key_member: LockedKeyMember,
        published: PublishedMembership,
        roster_writer: RosterWriter,
        control: ControlClient,
    ) -> None:
        self._runtime = runtime
        self._key_member = key_member
        self._published = published
        self._roster_writer = roster_writer
        self._control = control

    def write_roster(self, step: steps.WriteRoster) -> None:
        """Write a roster and adopt the version that the store then has."""
        future = self._roster_writer.submit(step.roster)
        try:
            verdict = future.result(timeout=_WRITE_TIMEOUT_S)
        except (RosterWriteError, WaitTimeoutError) as error:
            _LOG.warning('keys: writing the roster failed: %r', error)
            return
        with self._key_member.locked() as member:
            member.adopt(verdict.roster, now_s=self._runtime.now_s())
        if verdict.is_written:
            _LOG.info('keys: wrote roster version %d', verdict.roster.version)

    def request_acks(self, step: steps.RequestAcknowledgements) -> None:
        """Send the roster to members and record what they have adopted."""
        with self._key_member.locked() as member:
            roster = member.view.roster
        for instance in step.instances:
            answer = self._request(
                instance, key_endpoints.ADOPT, roster, Acknowledgement
            )
            if answer is not None:
                self._record_ack(answer)

    def request_releases(self, step: steps.RequestReleases) -> None:
        """Request the entries of the keys that this node will own."""
        request = key_endpoints.ReleaseRequest(
            joiner=self._runtime.instance,
            joined_version=step.joined_version,
        )
        for holder in step.instances:
            batches = self._request(
                holder,
                key_endpoints.RELEASE,
                request,
                tuple[EntryBatch, ...],
            )
            self._accept_batches(batches or ())

    def send_batches(
        self, step: steps.SendBatches, leaving: LeaveProcedure
    ) -> None:
        """Send entries to the next owners of their keys."""
        for batch in step.batches:
            receipt = self._request(
                batch.delivery.receiver,
                key_endpoints.BATCH,
                batch,
                Receipt,
            )
            if receipt is not None:
                with self._key_member.locked():
                    leaving.confirm(receipt)

    def request_promises(self) -> None:
        """Ask the other holders to keep this roster for a lease term."""
        with self._key_member.locked() as member:
            request = member.gate.lease.promise_request(
                now_s=self._runtime.now_s()
            )
            holders = member.view.roster.holders
        for holder in holders:
            if holder != self._runtime.instance:
                promise = self._request(
                    holder,
                    key_endpoints.PROMISE,
                    request,
                    Promise | None,
                )
                self._record_promise(promise)

    def is_reachable(self, instance: InstanceId) -> bool:
        """Request the version of a member; return whether it answers."""
        with self._key_member.locked() as member:
            version = member.view.version
        answer = self._request(
            instance,
            key_endpoints.VERSION,
            version,
            Acknowledgement,
        )
        if answer is not None:
            self._record_ack(answer)
        return answer is not None

    def _record_promise(self, promise: Promise | None) -> None:
        if promise is not None:
            with self._key_member.locked() as member:
                member.gate.lease.add_promise(promise)

    def _record_ack(self, answer: Acknowledgement) -> None:
        with self._key_member.locked() as member:
            member.seal.add_acknowledgement(answer, now_s=self._runtime.now_s())

    def _accept_batches(self, batches: Iterable[EntryBatch]) -> None:
        for batch in batches:
            with self._key_member.locked() as member:
                member.handover.accept(batch, now_s=self._runtime.now_s())

    def _request(
        self,
        instance: InstanceId,
        name: str,
        message: Any,
        answer_type: Any,
    ) -> Any:
        peer = self._peer_address(instance)
        if peer is None:
            return None
        try:
            return self._control.call(peer, name, message, answer_type)
        except ControlError as error:
            _LOG.info(
                'keys: %s: control call %s failed: %s',
                peer,
                name,
                error,
            )
            return None

    def _peer_address(self, instance: InstanceId) -> Address | None:
        for known in self._published.instances(self._runtime.service):
            if known.instance == instance:
                return known.peer
        return None
