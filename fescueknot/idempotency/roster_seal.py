"""Seal of a roster version: when no lease on an older one is left.

See "Roster" in ``docs/design/at-most-once.md``.
"""

import math

import msgspec

from fescueknot.idempotency.messages import Acknowledgement
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Electorate, Roster

_NEVER_S = math.inf


class _Adoption(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    heard_s: float


class RosterSeal:
    """Collects acknowledgements of the newest version that is known.

    Times are on the own monotonic clock; what the others did happened before
    it was heard of, so that all waits err on the long side.
    """

    def __init__(self, *, view: RosterView, terms: Terms, now_s: float) -> None:
        self._view = view
        self._terms = terms
        self._adoptions: dict[InstanceId, _Adoption] = {}
        self._known_version = view.version
        self._known_s = now_s

    def add_acknowledgement(
        self, acknowledgement: Acknowledgement, *, now_s: float
    ) -> None:
        """Take an acknowledgement; an older one changes nothing."""
        instance = acknowledgement.instance
        present = self._adoptions.get(instance)
        if present and present.version >= acknowledgement.version:
            return
        self._adoptions[instance] = _Adoption(
            version=acknowledgement.version,
            heard_s=now_s,
        )

    def observe(self, *, now_s: float) -> None:
        """Note the version at hand; call it after each adoption."""
        if self._view.version != self._known_version:
            self._known_version = self._view.version
            self._known_s = now_s
            self._forget_strangers()
        self.add_acknowledgement(self._view.acknowledgement(), now_s=now_s)

    def known_for_s(self, *, now_s: float) -> float:
        """Return for how long the version at hand has been known."""
        return now_s - self._known_s

    def shown_up(self, instance: InstanceId, *, now_s: float) -> bool:
        """Return whether an instance adopted this version lately."""
        return now_s - self._terms.wait_s < self._heard_s(instance) < _NEVER_S

    def missing(self) -> tuple[InstanceId, ...]:
        """Return the holders and former electors still to be asked."""
        return tuple(
            instance
            for instance in _concerned(self._view.roster)
            if self._heard_s(instance) == _NEVER_S
        )

    def sealed(self, *, now_s: float) -> bool:
        """Return whether no lease on an older version can be left."""
        return now_s >= min(
            self._adopted_by_all_s(),
            self._lapsed_s(),
            self._known_s + self._terms.outage_wait_s,
        )

    def _adopted_by_all_s(self) -> float:
        return max(
            map(self._heard_s, self._view.roster.holders),
            default=self._known_s,
        )

    def _lapsed_s(self) -> float:
        roster = self._view.roster
        return self._terms.wait_s + max(
            self._known_s,
            self._blocked_s(roster.electorate),
            self._blocked_s(roster.before),
        )

    def _blocked_s(self, electorate: Electorate) -> float:
        """Return when enough electors had left the older versions."""
        if not electorate.blocking:
            return self._known_s
        heard = sorted(map(self._heard_s, electorate.electors))
        return heard[electorate.blocking - 1]

    def _heard_s(self, instance: InstanceId) -> float:
        adoption = self._adoptions.get(instance)
        if adoption is None or adoption.version < self._view.version:
            return _NEVER_S
        return adoption.heard_s

    def _forget_strangers(self) -> None:
        concerned = frozenset(_concerned(self._view.roster))
        self._adoptions = {
            instance: adoption
            for instance, adoption in self._adoptions.items()
            if instance in concerned
        }


def _concerned(roster: Roster) -> tuple[InstanceId, ...]:
    """Return all whose acknowledgements count for a version."""
    return tuple(dict.fromkeys((*roster.holders, *roster.before.electors)))
