"""What one member knows of its roster."""

from fescueknot.idempotency.messages import Acknowledgement
from fescueknot.idempotency.ownership import ownership_of
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState, Roster


class RosterView:
    """The newest roster that an instance knows; it only goes forward."""

    def __init__(self, *, instance: InstanceId, roster: Roster) -> None:
        self.instance = instance
        self.roster = roster
        self.ownership = ownership_of(roster)
        self._heard_version = roster.version

    @property
    def version(self) -> int:
        """Return the version of the roster at hand."""
        return self.roster.version

    @property
    def state(self) -> MemberState | None:
        """Return the own state on the roster."""
        return self.roster.state_of(self.instance)

    @property
    def outdated(self) -> bool:
        """Return whether a newer version is known to exist."""
        return self._heard_version > self.roster.version

    def record_version(self, version: int) -> None:
        """Note that a version exists; its roster may be fetched later."""
        self._heard_version = max(self._heard_version, version)

    def adopt(self, roster: Roster) -> bool:
        """Take a newer roster; return whether it was newer."""
        self.record_version(roster.version)
        if roster.version <= self.roster.version:
            return False
        self.roster = roster
        self.ownership = ownership_of(roster)
        return True

    def acknowledgement(self) -> Acknowledgement:
        """Return what this member has adopted."""
        return Acknowledgement(instance=self.instance, version=self.version)
