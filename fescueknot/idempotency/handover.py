"""Handover of ledger entries to the next owners of their keys.

A release goes from a holder to a joiner, a bequest from a leaver to all who
may own a key next. Both travel as batches and may be sent again.
"""

from collections.abc import Iterable

from fescueknot.idempotency.batches import (
    Delivery,
    EntryBatch,
    Purpose,
    Receipt,
    split,
)
from fescueknot.idempotency.entries import MovedEntry
from fescueknot.idempotency.errors import HandoverError
from fescueknot.idempotency.keys import key_number
from fescueknot.idempotency.ledger import Ledger
from fescueknot.idempotency.received_releases import Receptions
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState


class Handover:
    """Gives entries to, and takes them from, other members."""

    def __init__(self, *, view: RosterView, ledger: Ledger) -> None:
        self._view = view
        self._ledger = ledger
        self._receptions = Receptions()
        self._edition = 0

    def release(
        self,
        joiner: InstanceId,
        *,
        joined_version: int,
        now_s: float,
    ) -> tuple[EntryBatch, ...]:
        """Return the batches for a joiner; empty as long as it must wait.

        Keys that the joiner will win are frozen since this member knows of
        it, and are released once none of them runs or may start.
        """
        member = self._view.roster.find(joiner)
        if member is None or member.state is not MemberState.JOINING:
            return ()
        if member.joined_version != joined_version:
            return ()
        if self._any_taken(joiner, self._ledger.unsettled(now_s=now_s)):
            return ()
        delivery = self._delivery(Purpose.RELEASE, joiner, joined_version)
        return split(delivery, self._taken(joiner, now_s))

    def bequest(self, *, now_s: float) -> tuple[EntryBatch, ...]:
        """Return all entries for those who may own their keys next."""
        remaining = self._view.ownership.without(self._view.instance)
        by_heir: dict[InstanceId, list[MovedEntry]] = {}
        for entry in self._ledger.export(now_s=now_s):
            for heir in remaining.heirs(key_number(entry.digest)):
                by_heir.setdefault(heir, []).append(entry)
        batches: list[EntryBatch] = []
        for receiver, entries in by_heir.items():
            delivery = self._delivery(
                Purpose.BEQUEST, receiver, self._view.version
            )
            batches.extend(split(delivery, entries))
        return tuple(batches)

    def accept(self, batch: EntryBatch, *, now_s: float) -> Receipt:
        """Take a batch that is for this instance.

        Raise ``LedgerFullError`` when an entry has no room, and
        :class:`HandoverError` when the batch is for another instance.
        """
        if batch.delivery.receiver != self._view.instance:
            raise HandoverError(f'batch is for {batch.delivery.receiver}')
        for entry in batch.entries:
            self._ledger.absorb(entry, now_s=now_s)
        self._receptions.note(batch)
        return Receipt(delivery=batch.delivery, index=batch.index)

    def released_by(self, giver: InstanceId, *, joined_version: int) -> bool:
        """Return whether a giver's whole release has been taken."""
        return self._receptions.released_by(giver, joined_version)

    def _delivery(
        self, purpose: Purpose, receiver: InstanceId, for_version: int
    ) -> Delivery:
        self._edition += 1
        return Delivery(
            purpose=purpose,
            giver=self._view.instance,
            receiver=receiver,
            for_version=for_version,
            edition=self._edition,
        )

    def _any_taken(self, joiner: InstanceId, digests: Iterable[bytes]) -> bool:
        return any(
            joiner in self._view.ownership.takers(key_number(digest))
            for digest in digests
        )

    def _taken(self, joiner: InstanceId, now_s: float) -> list[MovedEntry]:
        return [
            entry
            for entry in self._ledger.export(now_s=now_s)
            if joiner in self._view.ownership.takers(key_number(entry.digest))
        ]
