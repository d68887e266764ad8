"""Which releases have arrived as a whole."""

from fescueknot.idempotency.batches import Delivery, EntryBatch, Purpose
from fescueknot.identity import InstanceId


class _Reception:
    """The batches of one delivery that have arrived."""

    def __init__(self, *, delivery: Delivery, count: int) -> None:
        self.delivery = delivery
        self._missing = set(range(count))

    @property
    def whole(self) -> bool:
        return not self._missing

    def note(self, index: int) -> None:
        self._missing.discard(index)


class Receptions:
    """The newest release of each giver."""

    def __init__(self) -> None:
        self._by_giver: dict[InstanceId, _Reception] = {}

    def note(self, batch: EntryBatch) -> None:
        """Note a batch; bequests are confirmed by receipts alone."""
        if batch.delivery.purpose is not Purpose.RELEASE:
            return
        reception = self._for(batch)
        if reception.delivery == batch.delivery:
            reception.note(batch.index)

    def released_by(self, giver: InstanceId, joined_version: int) -> bool:
        """Return whether the release for one joining has arrived."""
        reception = self._by_giver.get(giver)
        if reception is None or not reception.whole:
            return False
        return reception.delivery.for_version == joined_version

    def _for(self, batch: EntryBatch) -> _Reception:
        giver = batch.delivery.giver
        present = self._by_giver.get(giver)
        if present and not _supersedes(batch.delivery, present):
            return present
        reception = _Reception(delivery=batch.delivery, count=batch.count)
        self._by_giver[giver] = reception
        return reception


def _supersedes(delivery: Delivery, present: _Reception) -> bool:
    if present.whole and delivery.for_version == present.delivery.for_version:
        return False
    return delivery.edition > present.delivery.edition
