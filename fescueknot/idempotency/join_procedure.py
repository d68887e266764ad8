"""Joining a roster as a new holder of keys."""

from fescueknot.idempotency.handover import Handover
from fescueknot.idempotency.procedures import RosterProcedure
from fescueknot.idempotency.roster_changes import join, serve
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.steps import (
    Finished,
    RequestReleases,
    Step,
    WriteRoster,
)
from fescueknot.idempotency.terms import Terms
from fescueknot.roster import Member, MemberState


class JoinProcedure(RosterProcedure):
    """Joins, collects the releases of all holders, then serves."""

    def __init__(
        self,
        *,
        view: RosterView,
        seal: RosterSeal,
        terms: Terms,
        handover: Handover,
    ) -> None:
        super().__init__(view=view, seal=seal, terms=terms)
        self._handover = handover

    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the step that the own state asks for."""
        member = self._view.roster.find(self._view.instance)
        if member is None:
            return WriteRoster(
                roster=join(self._view.roster, self._view.instance),
            )
        if member.state is not MemberState.JOINING:
            return Finished()
        return self._collect(member, now_s)

    def _collect(self, member: Member, now_s: float) -> Step:
        missing = tuple(
            holder
            for holder in self._view.roster.holders
            if not self._handover.released_by(
                holder, joined_version=member.joined_version
            )
        )
        if missing:
            return RequestReleases(
                instances=missing,
                joined_version=member.joined_version,
            )
        serving = serve(self._view.roster, member.instance)
        return self._when_sealed(serving, now_s=now_s)
