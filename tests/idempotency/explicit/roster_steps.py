"""Steps that change the roster and move entries."""

from collections.abc import Iterable

from fescueknot.idempotency.batches import EntryBatch
from fescueknot.idempotency.steps import SendBatches, Step, WriteRoster
from tests.idempotency.explicit.parts import instance
from tests.idempotency.explicit.store_steps import StoreSteps


class RosterSteps(StoreSteps):
    """Takeover, resuming, joining, leaving and the batches of both."""

    def do_takeover(self, actor: str, other: str) -> None:
        self._take(actor, self.member(actor).takeover(instance(other)))

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
        self._take(actor, self.member(actor).resuming())

    def do_join(self, actor: str, other: str) -> None:
        self._take(actor, self.member(actor).joining())

    def do_leave(self, actor: str, other: str) -> None:
        site = self.sites[actor]
        if site.leaving is None:
            site.leaving = site.member.leaving()
        self._take(actor, site.leaving)

    def can_takeover(self, actor: str, other: str) -> bool:
        return self.sites[actor].write is None

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
        self.parcels.extend(
            giver.handover.release(
                instance(other),
                joined_version=joiner.joined_version,
                now_s=self.now_s,
            )
        )

    def do_release_now(self, actor: str, other: str) -> None:
        """Release keys, deliver the batches and acknowledge at once."""
        self.do_release(actor, other)
        while self.can_carry(actor, other):
            self.do_carry(actor, other)
        self.do_acknowledge(actor, other)

    def can_release(self, actor: str, other: str) -> bool:
        return not self.can_carry(actor, other)

    def can_carry(self, actor: str, other: str) -> bool:
        return any(self._between(actor, other))

    def do_carry(self, actor: str, other: str) -> None:
        parcel = next(self._between(actor, other))
        self.parcels.remove(parcel)
        receipt = self.member(other).handover.accept(parcel, now_s=self.now_s)
        if self.sites[actor].leaving:
            self.sites[actor].leaving.confirm(receipt)

    def _apply_now(self, actor: str) -> None:
        if self.sites[actor].write:
            self.do_apply_and_hear(actor, '')

    def _take(self, actor: str, procedure: object) -> None:
        step: Step = procedure.next_step(now_s=self.now_s, wall_s=self.now_s)
        if isinstance(step, WriteRoster):
            self.sites[actor].write = step
        if isinstance(step, SendBatches):
            self.parcels = [
                parcel
                for parcel in self.parcels
                if parcel.delivery.giver != instance(actor)
            ]
            self.parcels.extend(step.batches)

    def _between(self, actor: str, other: str) -> Iterable[EntryBatch]:
        return (
            parcel
            for parcel in self.parcels
            if parcel.delivery.giver == instance(actor)
            and parcel.delivery.receiver == instance(other)
        )
