"""Next steps of the procedures that change a roster."""

import msgspec

from fescueknot.idempotency.batches import EntryBatch
from fescueknot.identity import InstanceId
from fescueknot.roster import Roster


class WriteRoster(msgspec.Struct, frozen=True, kw_only=True):
    """Write ``roster`` if the store still has the version before it.

    Whatever the store answers, or fails to, read it back and adopt.
    """

    roster: Roster

    @property
    def expected_version(self) -> int:
        """Return the version that the update is conditional on."""
        return self.roster.version - 1


class RequestAcknowledgements(msgspec.Struct, frozen=True, kw_only=True):
    """Send the roster at hand to these and ask what they have adopted."""

    instances: tuple[InstanceId, ...]


class RequestReleases(msgspec.Struct, frozen=True, kw_only=True):
    """Ask these holders to release keys to the joiner."""

    instances: tuple[InstanceId, ...]
    joined_version: int


class SendBatches(msgspec.Struct, frozen=True, kw_only=True):
    """Send these batches and report each receipt."""

    batches: tuple[EntryBatch, ...]


class WaitForRuns(msgspec.Struct, frozen=True, kw_only=True):
    """Some keys still run or may start; ask again soon."""

    running: int


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing is left to do."""


class TakeoverCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """The suspect has shown up: leave the roster to it."""


Step = (
    WriteRoster
    | RequestAcknowledgements
    | RequestReleases
    | SendBatches
    | WaitForRuns
    | Finished
    | TakeoverCancelled
)
