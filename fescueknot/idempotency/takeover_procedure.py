"""Takeover of the keys of a member that is suspected to have failed."""

import types
from collections.abc import Callable

from fescueknot.idempotency.procedures import RosterProcedure
from fescueknot.idempotency.roster_changes import remove, suspend, withdraw
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.steps import (
    Finished,
    Step,
    TakeoverCancelled,
    WriteRoster,
)
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState


class TakeoverProcedure(RosterProcedure):
    """Suspends a suspect, waits until the version is sealed, removes it.

    Once the version is sealed, the suspect has no lease and can run no keys.
    Any member may run the procedure. Several may run it at once, and a member
    may continue a takeover that another one began. ``patience_s`` is how long
    a suspended member may still resume, with its ledger, before it is removed.
    """

    def __init__(
        self,
        *,
        suspect: InstanceId,
        view: RosterView,
        seal: RosterSeal,
        terms: Terms,
        patience_s: float = 0,
    ) -> None:
        super().__init__(view=view, seal=seal, terms=terms)
        self._suspect = suspect
        self._patience_s = patience_s

    def next_step(self, *, now_s: float, wall_s: float) -> Step:
        """Return the next step for the roster state of the suspect."""
        state = self._view.roster.state_of(self._suspect)
        return _STEPS[state](self, now_s, wall_s)

    def _finish(self, now_s: float, wall_s: float) -> Step:
        return Finished()

    def _withdraw(self, now_s: float, wall_s: float) -> Step:
        return WriteRoster(roster=withdraw(self._view.roster, self._suspect))

    def _suspend(self, now_s: float, wall_s: float) -> Step:
        return WriteRoster(roster=suspend(self._view.roster, self._suspect))

    def _remove(self, now_s: float, wall_s: float) -> Step:
        if self._seal.adopted_recently(self._suspect, now_s=now_s):
            return TakeoverCancelled()
        removed = remove(
            self._view.roster,
            self._suspect,
            terms=self._terms,
            wall_s=wall_s,
        )
        if self._seal.adopted_for_s(now_s=now_s) < self._patience_s:
            return self._request_acknowledgements()
        return self._write_when_sealed(removed, now_s=now_s)


_STEPS: types.MappingProxyType[
    MemberState | None,
    Callable[[TakeoverProcedure, float, float], Step],
] = types.MappingProxyType(
    {
        None: TakeoverProcedure._finish,
        MemberState.JOINING: TakeoverProcedure._withdraw,
        MemberState.SERVING: TakeoverProcedure._suspend,
        MemberState.SUSPENDED: TakeoverProcedure._remove,
    }
)
