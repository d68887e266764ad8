"""Releases whose batches have all been received."""

from fescueknot.idempotency.batches import Delivery, EntryBatch, Purpose
from fescueknot.identity import InstanceId


class _ReceivedRelease:
    """The batches of one delivery that have been received."""

    def __init__(self, *, delivery: Delivery, count: int) -> None:
        self.delivery = delivery
        self._missing = set(range(count))

    @property
    def complete(self) -> bool:
        return not self._missing

    def record(self, index: int) -> None:
        self._missing.discard(index)


class ReceivedReleases:
    """The newest release of each giver."""

    def __init__(self) -> None:
        self._by_giver: dict[InstanceId, _ReceivedRelease] = {}

    def record(self, batch: EntryBatch) -> None:
        """Record a batch; ignore batches sent for a leave.

        Those are confirmed by receipts only.
        """
        if batch.delivery.purpose is not Purpose.JOIN:
            return
        received = self._current_release(batch)
        if received.delivery == batch.delivery:
            received.record(batch.index)

    def has_release_from(self, giver: InstanceId, joined_version: int) -> bool:
        """Return whether the release for one join has arrived."""
        received = self._by_giver.get(giver)
        if received is None or not received.complete:
            return False
        return received.delivery.for_version == joined_version

    def _current_release(self, batch: EntryBatch) -> _ReceivedRelease:
        giver = batch.delivery.giver
        present = self._by_giver.get(giver)
        if present and not _supersedes(batch.delivery, present):
            return present
        received = _ReceivedRelease(delivery=batch.delivery, count=batch.count)
        self._by_giver[giver] = received
        return received


def _supersedes(delivery: Delivery, present: _ReceivedRelease) -> bool:
    if (
        present.complete
        and delivery.for_version == present.delivery.for_version
    ):
        return False
    return delivery.edition > present.delivery.edition
