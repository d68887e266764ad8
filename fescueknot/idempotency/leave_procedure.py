"""Planned leave from a roster, with the ledger handed over."""

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
    """Waits for runs, hands all entries over, then leaves the roster.

    The gate must be stopped before. Without another holder, or once the
    handover is skipped, the member leaves with a recorded loss: the outcome of
    its older keys becomes unknown.
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
        self._handover_skipped = False
        self._batches_version = -1
        self._unconfirmed: dict[Receipt, EntryBatch] = {}

    def skip_handover(self) -> None:
        """Leave with a loss, without waiting for runs and receipts.

        The member still waits until the version is sealed.
        """
        self._handover_skipped = True

    def confirm(self, receipt: Receipt) -> None:
        """Record the receipt of a batch."""
        self._unconfirmed.pop(receipt, None)

    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the next step for the roster state of this member."""
        roster = self._view.roster
        state = self._view.state
        if state is None:
            return Finished()
        if state is MemberState.JOINING:
            return WriteRoster(roster=withdraw(roster, self._view.instance))
        if self._handover_skipped:
            return self._leave_with_loss(now_s, wall_s)
        return self._hand_over(now_s, wall_s)

    def _hand_over(self, now_s: float, wall_s: float) -> Step:
        pending_keys = self._ledger.pending_keys(now_s=now_s)
        if pending_keys:
            return WaitForRuns(running=len(pending_keys))
        if self._view.roster.holders == (self._view.instance,):
            return self._leave_with_loss(now_s, wall_s)
        self._prepare_batches(now_s)
        if self._unconfirmed:
            return SendBatches(batches=tuple(self._unconfirmed.values()))
        next_roster = leave(self._view.roster, self._view.instance)
        return self._write_when_sealed(next_roster, now_s=now_s)

    def _prepare_batches(self, now_s: float) -> None:
        if self._batches_version == self._view.version:
            return
        self._batches_version = self._view.version
        self._unconfirmed = {
            Receipt(delivery=batch.delivery, index=batch.index): batch
            for batch in self._handover.leave_batches(now_s=now_s)
        }

    def _leave_with_loss(self, now_s: float, wall_s: float) -> Step:
        next_roster = leave_with_loss(
            self._view.roster,
            self._view.instance,
            terms=self._terms,
            wall_s=wall_s,
        )
        return self._write_when_sealed(next_roster, now_s=now_s)
