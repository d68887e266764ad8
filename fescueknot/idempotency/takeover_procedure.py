"""Takeover of the keys of a member that seems to be lost."""

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
    """Suspends a suspect, waits until it can't run keys, and removes it.

    Any member may run it, several at once, and one may continue what another
    began. ``patience_s`` is how long a suspended member may still resume with
    its ledger whole before it is given up.
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
        """Return the step that the state of the suspect asks for."""
        state = self._view.roster.state_of(self._suspect)
        return _STEPS[state](self, now_s, wall_s)

    def _finish(self, now_s: float, wall_s: float) -> Step:
        return Finished()

    def _withdraw(self, now_s: float, wall_s: float) -> Step:
        return WriteRoster(roster=withdraw(self._view.roster, self._suspect))

    def _suspend(self, now_s: float, wall_s: float) -> Step:
        return WriteRoster(roster=suspend(self._view.roster, self._suspect))

    def _remove(self, now_s: float, wall_s: float) -> Step:
        if self._seal.shown_up(self._suspect, now_s=now_s):
            return TakeoverCancelled()
        removed = remove(
            self._view.roster,
            self._suspect,
            terms=self._terms,
            wall_s=wall_s,
        )
        if self._seal.known_for_s(now_s=now_s) < self._patience_s:
            return self._ask()
        return self._when_sealed(removed, now_s=now_s)


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
