"""Next steps of the procedures that change a roster."""

import msgspec

from fescueknot.idempotency.batches import EntryBatch
from fescueknot.identity import InstanceId
from fescueknot.roster import Roster


class WriteRoster(msgspec.Struct, frozen=True, kw_only=True):
    """Write ``roster`` if the store still has the version before it.

    Afterwards read the store and adopt its roster, whether the write succeeded,
    failed or was not answered.
    """

    roster: Roster

    @property
    def expected_version(self) -> int:
        """Return the version that the update is conditional on."""
        return self.roster.version - 1


class RequestAcknowledgements(msgspec.Struct, frozen=True, kw_only=True):
    """Send the roster to ``instances`` to get their acknowledgements."""

    instances: tuple[InstanceId, ...]


class RequestReleases(msgspec.Struct, frozen=True, kw_only=True):
    """Request from holders the release of keys to the joiner."""

    instances: tuple[InstanceId, ...]
    joined_version: int


class SendBatches(msgspec.Struct, frozen=True, kw_only=True):
    """Send the batches and confirm each receipt to the procedure."""

    batches: tuple[EntryBatch, ...]


class WaitForRuns(msgspec.Struct, frozen=True, kw_only=True):
    """Keys still run or may start: call the procedure again soon."""

    running: int


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """The procedure is complete."""


class TakeoverCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """The suspect has acknowledged the roster: end the takeover.

    The suspect ends its suspension itself.
    """


Step = (
    WriteRoster
    | RequestAcknowledgements
    | RequestReleases
    | SendBatches
    | WaitForRuns
    | Finished
    | TakeoverCancelled
)
