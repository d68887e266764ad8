"""Newest roster that one member has adopted."""

from fescueknot.idempotency.messages import Acknowledgement
from fescueknot.idempotency.ownership import ownership_of
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState, Roster


class RosterView:
    """The newest roster of an instance; its version never decreases."""

    def __init__(self, *, instance: InstanceId, roster: Roster) -> None:
        self.instance = instance
        self.roster = roster
        self.ownership = ownership_of(roster)
        self._newest_known_version = roster.version

    @property
    def version(self) -> int:
        """Return the version of the adopted roster."""
        return self.roster.version

    @property
    def state(self) -> MemberState | None:
        """Return the state of this instance on the roster."""
        return self.roster.state_of(self.instance)

    @property
    def outdated(self) -> bool:
        """Return whether a newer version is known to exist."""
        return self._newest_known_version > self.roster.version

    def record_version(self, version: int) -> None:
        """Record that a version exists, before its roster is adopted."""
        self._newest_known_version = max(self._newest_known_version, version)

    def adopt(self, roster: Roster) -> bool:
        """Adopt a roster if it is newer; return whether it was."""
        self.record_version(roster.version)
        if roster.version <= self.roster.version:
            return False
        self.roster = roster
        self.ownership = ownership_of(roster)
        return True

    def acknowledgement(self) -> Acknowledgement:
        """Return the acknowledgement of the adopted version."""
        return Acknowledgement(instance=self.instance, version=self.version)
