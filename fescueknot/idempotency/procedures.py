"""Base of the procedures that change a roster.

A procedure keeps almost no state: asked again and again, it derives its next
step from the newest roster. So a lost answer, a race or the death of whoever
began it needs no special case.
"""

import abc

from fescueknot.idempotency.roster_changes import resume
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.steps import (
    Finished,
    RequestAcknowledgements,
    Step,
    WriteRoster,
)
from fescueknot.idempotency.terms import Terms
from fescueknot.roster import MemberState, Roster


class RosterProcedure(abc.ABC):
    """Says what to do next towards one change of the roster."""

    def __init__(
        self, *, view: RosterView, seal: RosterSeal, terms: Terms
    ) -> None:
        self._view = view
        self._seal = seal
        self._terms = terms

    @abc.abstractmethod
    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the next step; ask again after it, or later."""

    def _when_sealed(self, changed: Roster, *, now_s: float) -> Step:
        """Return the write once the version at hand is sealed."""
        if self._seal.sealed(now_s=now_s):
            return WriteRoster(roster=changed)
        return self._ask()

    def _ask(self) -> Step:
        return RequestAcknowledgements(instances=self._seal.missing())


class ResumeProcedure(RosterProcedure):
    """Ends the suspension of this member, which is alive after all."""

    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the write as long as this member is suspended."""
        if self._view.state is not MemberState.SUSPENDED:
            return Finished()
        return WriteRoster(
            roster=resume(self._view.roster, self._view.instance),
        )
