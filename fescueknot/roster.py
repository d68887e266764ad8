"""Rosters: the instances that own the at-most-once keys of a service.

A roster changes only by a conditional update of its store object. Each change
increases its version by one.
"""

import enum

import msgspec

from fescueknot.identity import InstanceId


class MemberState(enum.StrEnum):
    """Whether a member owns keys, and whether it may run them.

    A joining member owns no keys yet. A suspended member owns keys but must
    not run them.
    """

    JOINING = 'joining'
    SERVING = 'serving'
    SUSPENDED = 'suspended'


class Member(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One instance on a roster, added in version ``joined_version``."""

    instance: InstanceId
    state: MemberState = MemberState.SERVING
    joined_version: int = 0


class Loss(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that was removed without handing its ledger over.

    Keys that ``instance`` owned among ``members_before`` and that were made
    before ``unknown_before_wall_s`` may have run there.
    """

    instance: InstanceId
    members_before: tuple[InstanceId, ...]
    unknown_before_wall_s: float


class Electorate(msgspec.Struct, frozen=True, kw_only=True):
    """Instances whose promises count, and the quorum for a lease."""

    electors: tuple[InstanceId, ...] = ()
    quorum: int = 2

    @property
    def blocking_size(self) -> int:
        """Return how many refusing electors suffice to prevent a quorum."""
        return max(0, len(self.electors) - self.quorum + 1)


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """The members of one service at one version.

    ``before`` is the electorate before the last change of the holders: its
    promises for older versions may still be valid.
    """

    service: str
    version: int = 0
    members: tuple[Member, ...] = ()
    losses: tuple[Loss, ...] = ()
    before: Electorate = Electorate()

    @property
    def holders(self) -> tuple[InstanceId, ...]:
        """Return the members that own keys: serving and suspended."""
        return self._with_states(MemberState.SERVING, MemberState.SUSPENDED)

    @property
    def joiners(self) -> tuple[InstanceId, ...]:
        """Return the members that own no keys yet."""
        return self._with_states(MemberState.JOINING)

    @property
    def electorate(self) -> Electorate:
        """Return the electorate for leases on this version.

        A single holder can reach no quorum: its lease depends on store
        evidence only.
        """
        holders = self.holders
        return Electorate(
            electors=holders,
            quorum=max(2, len(holders) // 2 + 1),
        )

    def find(self, instance: InstanceId) -> Member | None:
        """Return the member, ``None`` if it is not on the roster."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None

    def state_of(self, instance: InstanceId) -> MemberState | None:
        """Return the state of a member, ``None`` if it is not on the roster."""
        member = self.find(instance)
        return member.state if member else None

    def _with_states(self, *states: MemberState) -> tuple[InstanceId, ...]:
        return tuple(
            member.instance for member in self.members if member.state in states
        )
