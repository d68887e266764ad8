"""One member of a service: gate, seal, handover and procedures together.

One task owns a member. Nothing in it is safe to use from two threads.
"""

from fescueknot.idempotency.entry_table import LedgerBounds
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.handover import Handover
from fescueknot.idempotency.join_procedure import JoinProcedure
from fescueknot.idempotency.leave_procedure import LeaveProcedure
from fescueknot.idempotency.messages import Acknowledgement
from fescueknot.idempotency.procedures import ResumeProcedure
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.takeover_procedure import TakeoverProcedure
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Roster


class KeyMember:
    """All that an instance does about the at-most-once keys of a service."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        roster: Roster,
        now_s: float,
        terms: Terms | None = None,
        bounds: LedgerBounds | None = None,
    ) -> None:
        self.terms = terms or Terms()
        self.gate = AtMostOnceGate(
            instance=instance,
            roster=roster,
            terms=self.terms,
            bounds=bounds,
        )
        self.view = self.gate.view
        self.seal = RosterSeal(view=self.view, terms=self.terms, now_s=now_s)
        self.handover = Handover(view=self.view, ledger=self.gate.ledger)

    def adopt(self, roster: Roster, *, now_s: float) -> Acknowledgement:
        """Take a roster if it is newer; return what is adopted now."""
        self.gate.adopt(roster)
        self.seal.observe(now_s=now_s)
        return self.view.acknowledgement()

    def takeover(
        self, suspect: InstanceId, *, patience_s: float = 0
    ) -> TakeoverProcedure:
        """Return the procedure that takes over from a suspect."""
        return TakeoverProcedure(
            suspect=suspect,
            view=self.view,
            seal=self.seal,
            terms=self.terms,
            patience_s=patience_s,
        )

    def resuming(self) -> ResumeProcedure:
        """Return the procedure that ends the own suspension."""
        return ResumeProcedure(view=self.view, seal=self.seal, terms=self.terms)

    def joining(self) -> JoinProcedure:
        """Return the procedure that makes this instance a holder."""
        return JoinProcedure(
            view=self.view,
            seal=self.seal,
            terms=self.terms,
            handover=self.handover,
        )

    def leaving(self) -> LeaveProcedure:
        """Stop the gate and return the procedure of a planned leave."""
        self.gate.stop()
        return LeaveProcedure(
            view=self.view,
            seal=self.seal,
            terms=self.terms,
            handover=self.handover,
            ledger=self.gate.ledger,
        )
