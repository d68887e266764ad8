"""Join of a roster as a new holder of keys."""

from fescueknot.idempotency.handover import Handover
from fescueknot.idempotency.procedures import RosterProcedure
from fescueknot.idempotency.roster_changes import join, start_serving
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
    """Adds this member, collects all holders' releases, then serves."""

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
        """Return the next step for the roster state of this member."""
        member = self._view.roster.find(self._view.instance)
        if member is None:
            return WriteRoster(
                roster=join(self._view.roster, self._view.instance),
            )
        if member.state is not MemberState.JOINING:
            return Finished()
        return self._collect_releases(member, now_s)

    def _collect_releases(self, member: Member, now_s: float) -> Step:
        missing = tuple(
            holder
            for holder in self._view.roster.holders
            if not self._handover.has_release_from(
                holder, joined_version=member.joined_version
            )
        )
        if missing:
            return RequestReleases(
                instances=missing,
                joined_version=member.joined_version,
            )
        serving = start_serving(self._view.roster, member.instance)
        return self._write_when_sealed(serving, now_s=now_s)
