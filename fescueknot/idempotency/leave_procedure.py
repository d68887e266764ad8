"""Leaving a roster with the ledger handed over."""

from fescueknot.idempotency.batches import EntryBatch, Receipt
from fescueknot.idempotency.handover import Handover
from fescueknot.idempotency.ledger import Ledger
from fescueknot.idempotency.procedures import RosterProcedure
from fescueknot.idempotency.roster_changes import (
    leave,
    leave_with_loss,
    withdraw,
)
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.steps import (
    Finished,
    SendBatches,
    Step,
    WaitForRuns,
    WriteRoster,
)
from fescueknot.idempotency.terms import Terms
from fescueknot.roster import MemberState


class LeaveProcedure(RosterProcedure):
    """Waits for runs, hands all entries over, then leaves.

    The gate must have been stopped before. Without an heir, or once hurried,
    it leaves with a loss: its older keys become unknown.
    """

    def __init__(
        self,
        *,
        view: RosterView,
        seal: RosterSeal,
        terms: Terms,
        handover: Handover,
        ledger: Ledger,
    ) -> None:
        super().__init__(view=view, seal=seal, terms=terms)
        self._handover = handover
        self._ledger = ledger
        self._hurried = False
        self._offered_version = -1
        self._pending: dict[Receipt, EntryBatch] = {}

    def skip_handover(self) -> None:
        """Wait for nothing but the seal."""
        self._hurried = True

    def confirm(self, receipt: Receipt) -> None:
        """Take the receipt of a batch."""
        self._pending.pop(receipt, None)

    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the step that the own state asks for."""
        roster = self._view.roster
        state = self._view.state
        if state is None:
            return Finished()
        if state is MemberState.JOINING:
            return WriteRoster(roster=withdraw(roster, self._view.instance))
        if self._hurried:
            return self._abandon(now_s, wall_s)
        return self._hand_over(now_s, wall_s)

    def _hand_over(self, now_s: float, wall_s: float) -> Step:
        unsettled = self._ledger.unsettled(now_s=now_s)
        if unsettled:
            return WaitForRuns(running=len(unsettled))
        if self._view.roster.holders == (self._view.instance,):
            return self._abandon(now_s, wall_s)
        self._offer(now_s)
        if self._pending:
            return SendBatches(batches=tuple(self._pending.values()))
        left = leave(self._view.roster, self._view.instance)
        return self._when_sealed(left, now_s=now_s)

    def _offer(self, now_s: float) -> None:
        if self._offered_version == self._view.version:
            return
        self._offered_version = self._view.version
        self._pending = {
            Receipt(delivery=batch.delivery, index=batch.index): batch
            for batch in self._handover.bequest(now_s=now_s)
        }

    def _abandon(self, now_s: float, wall_s: float) -> Step:
        left = leave_with_loss(
            self._view.roster,
            self._view.instance,
            terms=self._terms,
            wall_s=wall_s,
        )
        return self._when_sealed(left, now_s=now_s)
