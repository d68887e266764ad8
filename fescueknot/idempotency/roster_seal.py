"""Seal of a roster version.

A roster version is sealed when no lease on an older version can remain. See
"Roster" in ``docs/design/at-most-once.md``.
"""

import math

import msgspec

from fescueknot.idempotency.messages import Acknowledgement
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Electorate, Roster

_NEVER_S = math.inf


class _ReceivedAcknowledgement(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    received_s: float


class RosterSeal:
    """Collects acknowledgements of the roster version of this member.

    Times are on the local monotonic clock. An acknowledgement is dated at its
    arrival, after the adoption that it reports, so waits are never too short.
    """

    def __init__(self, *, view: RosterView, terms: Terms, now_s: float) -> None:
        self._view = view
        self._terms = terms
        self._acknowledgements: dict[InstanceId, _ReceivedAcknowledgement] = {}
        self._version = view.version
        self._adopted_s = now_s

    def add_acknowledgement(
        self, acknowledgement: Acknowledgement, *, now_s: float
    ) -> None:
        """Record an acknowledgement; ignore an older one."""
        instance = acknowledgement.instance
        present = self._acknowledgements.get(instance)
        if present and present.version >= acknowledgement.version:
            return
        self._acknowledgements[instance] = _ReceivedAcknowledgement(
            version=acknowledgement.version,
            received_s=now_s,
        )

    def record_adoption(self, *, now_s: float) -> None:
        """Record the version of the view; call it after each adoption."""
        if self._view.version != self._version:
            self._version = self._view.version
            self._adopted_s = now_s
            self._drop_irrelevant()
        self.add_acknowledgement(self._view.acknowledgement(), now_s=now_s)

    def adopted_for_s(self, *, now_s: float) -> float:
        """Return how long ago this member adopted its version."""
        return now_s - self._adopted_s

    def adopted_recently(self, instance: InstanceId, *, now_s: float) -> bool:
        """Return whether an instance acknowledged the version recently.

        That is within the last ``lease_wait_s``.
        """
        return (
            now_s - self._terms.lease_wait_s
            < self._acknowledged_s(instance)
            < _NEVER_S
        )

    def unacknowledged(self) -> tuple[InstanceId, ...]:
        """Return holders and former electors without acknowledgement."""
        return tuple(
            instance
            for instance in _relevant_instances(self._view.roster)
            if self._acknowledged_s(instance) == _NEVER_S
        )

    def sealed(self, *, now_s: float) -> bool:
        """Return whether no lease on an older version can remain.

        That is the case when all holders have acknowledged this version, when
        for ``lease_wait_s`` no quorum could promise for older versions, or
        ``outage_wait_s`` after this member adopted the version.
        """
        return now_s >= min(
            self._acknowledged_by_all_s(),
            self._expired_by_wait_s(),
            self._adopted_s + self._terms.outage_wait_s,
        )

    def _acknowledged_by_all_s(self) -> float:
        return max(
            map(self._acknowledged_s, self._view.roster.holders),
            default=self._adopted_s,
        )

    def _expired_by_wait_s(self) -> float:
        roster = self._view.roster
        return self._terms.lease_wait_s + max(
            self._adopted_s,
            self._blocked_s(roster.electorate),
            self._blocked_s(roster.before),
        )

    def _blocked_s(self, electorate: Electorate) -> float:
        """Return when no quorum was left on older versions."""
        if not electorate.blocking_size:
            return self._adopted_s
        acknowledged_s = sorted(map(self._acknowledged_s, electorate.electors))
        return acknowledged_s[electorate.blocking_size - 1]

    def _acknowledged_s(self, instance: InstanceId) -> float:
        received = self._acknowledgements.get(instance)
        if received is None or received.version < self._view.version:
            return _NEVER_S
        return received.received_s

    def _drop_irrelevant(self) -> None:
        relevant = frozenset(_relevant_instances(self._view.roster))
        self._acknowledgements = {
            instance: received
            for instance, received in self._acknowledgements.items()
            if instance in relevant
        }


def _relevant_instances(roster: Roster) -> tuple[InstanceId, ...]:
    """Return the instances whose acknowledgements count for a roster."""
    return tuple(dict.fromkeys((*roster.holders, *roster.before.electors)))
