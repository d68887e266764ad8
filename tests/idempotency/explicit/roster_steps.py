"""Steps that change the roster and move entries."""

from collections.abc import Iterable

from fescueknot.idempotency.batches import EntryBatch
from fescueknot.idempotency.steps import SendBatches, Step, WriteRoster
from tests.idempotency.explicit.parts import instance
from tests.idempotency.explicit.store_steps import StoreSteps


class RosterSteps(StoreSteps):
    """Takeover, resume, join and leave, and their batches of entries."""

    def do_takeover(self, actor: str, other: str) -> None:
        self._advance(actor, self.member(actor).takeover(instance(other)))

    def do_takeover_now(self, actor: str, other: str) -> None:
        self.do_takeover(actor, other)
        self._apply_now(actor)

    def do_join_now(self, actor: str, other: str) -> None:
        self.do_join(actor, other)
        self._apply_now(actor)

    def do_leave_now(self, actor: str, other: str) -> None:
        self.do_leave(actor, other)
        self._apply_now(actor)

    def do_resume_now(self, actor: str, other: str) -> None:
        self.do_resume(actor, other)
        self._apply_now(actor)

    def do_resume(self, actor: str, other: str) -> None:
        self._advance(actor, self.member(actor).resuming())

    def do_join(self, actor: str, other: str) -> None:
        self._advance(actor, self.member(actor).joining())

    def do_leave(self, actor: str, other: str) -> None:
        host = self.hosts[actor]
        if host.leaving is None:
            host.leaving = host.member.leaving()
        self._advance(actor, host.leaving)

    def can_takeover(self, actor: str, other: str) -> bool:
        return self.hosts[actor].write is None

    can_resume = can_takeover

    can_join = can_takeover

    can_leave = can_takeover

    can_takeover_now = can_takeover

    can_join_now = can_takeover

    can_leave_now = can_takeover

    can_resume_now = can_takeover

    def do_release(self, actor: str, other: str) -> None:
        giver = self.member(actor)
        joiner = self.member(other).view.roster.find(instance(other))
        if joiner is None:
            return
        self.batches_in_flight.extend(
            giver.handover.release(
                instance(other),
                joined_version=joiner.joined_version,
                now_s=self.now_s,
            )
        )

    def do_release_now(self, actor: str, other: str) -> None:
        """Release keys, deliver the batches and acknowledge at once."""
        self.do_release(actor, other)
        while self.can_deliver(actor, other):
            self.do_deliver(actor, other)
        self.do_acknowledge(actor, other)

    def can_release(self, actor: str, other: str) -> bool:
        return not self.can_deliver(actor, other)

    def can_deliver(self, actor: str, other: str) -> bool:
        return any(self._batches_between(actor, other))

    def do_deliver(self, actor: str, other: str) -> None:
        batch = next(self._batches_between(actor, other))
        self.batches_in_flight.remove(batch)
        receipt = self.member(other).handover.accept(batch, now_s=self.now_s)
        if self.hosts[actor].leaving:
            self.hosts[actor].leaving.confirm(receipt)

    def _apply_now(self, actor: str) -> None:
        if self.hosts[actor].write:
            self.do_apply_and_adopt(actor, '')

    def _advance(self, actor: str, procedure: object) -> None:
        step: Step = procedure.next_step(now_s=self.now_s, wall_s=self.now_s)
        if isinstance(step, WriteRoster):
            self.hosts[actor].write = step
        if isinstance(step, SendBatches):
            self.batches_in_flight = [
                batch
                for batch in self.batches_in_flight
                if batch.delivery.giver != instance(actor)
            ]
            self.batches_in_flight.extend(step.batches)

    def _batches_between(self, actor: str, other: str) -> Iterable[EntryBatch]:
        return (
            batch
            for batch in self.batches_in_flight
            if batch.delivery.giver == instance(actor)
            and batch.delivery.receiver == instance(other)
        )
