"""Base of the procedures that change a roster.

A procedure keeps almost no state: it is called repeatedly and derives its next
step from the newest roster. So a lost answer, a race, or the failure of the
member that began the change needs no special case.
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
    """Returns the next step towards one change of the roster."""

    def __init__(
        self, *, view: RosterView, seal: RosterSeal, terms: Terms
    ) -> None:
        self._view = view
        self._seal = seal
        self._terms = terms

    @abc.abstractmethod
    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the next step; call it again after the step or later."""

    def _write_when_sealed(self, changed: Roster, *, now_s: float) -> Step:
        """Return the write once the current version is sealed."""
        if self._seal.sealed(now_s=now_s):
            return WriteRoster(roster=changed)
        return self._request_acknowledgements()

    def _request_acknowledgements(self) -> Step:
        return RequestAcknowledgements(instances=self._seal.unacknowledged())


class ResumeProcedure(RosterProcedure):
    """Ends the suspension of this member, which has not failed."""

    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the write while this member is suspended."""
        if self._view.state is not MemberState.SUSPENDED:
            return Finished()
        return WriteRoster(
            roster=resume(self._view.roster, self._view.instance),
        )
