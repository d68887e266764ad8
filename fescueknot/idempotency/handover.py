"""Handover of ledger entries to the next owners of their keys.

For a join, each holder sends the joiner the entries of the keys that it will
own (a release). For a leave, the leaving member sends all its entries to the
instances that may own their keys next (a bequest). Both are sent in batches
and may be sent repeatedly.
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
from fescueknot.idempotency.received_releases import ReceivedReleases
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState


class Handover:
    """Sends entries to other members and receives theirs."""

    def __init__(self, *, view: RosterView, ledger: Ledger) -> None:
        self._view = view
        self._ledger = ledger
        self._received_releases = ReceivedReleases()
        self._edition = 0

    def release(
        self,
        joiner: InstanceId,
        *,
        joined_version: int,
        now_s: float,
    ) -> tuple[EntryBatch, ...]:
        """Return the batches for a joiner, none while it must wait.

        Once this member has adopted a roster with the joiner, its gate begins
        no keys that the joiner will own. These keys are released when none of
        them runs or may still start.
        """
        member = self._view.roster.find(joiner)
        if member is None or member.state is not MemberState.JOINING:
            return ()
        if member.joined_version != joined_version:
            return ()
        if self._moves_any(joiner, self._ledger.pending_keys(now_s=now_s)):
            return ()
        delivery = self._delivery(Purpose.JOIN, joiner, joined_version)
        return split(delivery, self._moving_entries(joiner, now_s))

    def leave_batches(self, *, now_s: float) -> tuple[EntryBatch, ...]:
        """Return the batches of all entries for their possible next owners."""
        ownership = self._view.ownership.without(self._view.instance)
        by_receiver: dict[InstanceId, list[MovedEntry]] = {}
        for entry in self._ledger.export(now_s=now_s):
            for receiver in ownership.possible_owners(key_number(entry.digest)):
                by_receiver.setdefault(receiver, []).append(entry)
        batches: list[EntryBatch] = []
        for receiver, entries in by_receiver.items():
            delivery = self._delivery(
                Purpose.LEAVE, receiver, self._view.version
            )
            batches.extend(split(delivery, entries))
        return tuple(batches)

    def accept(self, batch: EntryBatch, *, now_s: float) -> Receipt:
        """Add the entries of a batch to the ledger.

        Raise ``LedgerFullError`` when the ledger is full, and
        :class:`HandoverError` when the batch is for another instance.
        """
        if batch.delivery.receiver != self._view.instance:
            raise HandoverError(f'batch is for {batch.delivery.receiver}')
        for entry in batch.entries:
            self._ledger.import_entry(entry, now_s=now_s)
        self._received_releases.record(batch)
        return Receipt(delivery=batch.delivery, index=batch.index)

    def has_release_from(
        self, giver: InstanceId, *, joined_version: int
    ) -> bool:
        """Return whether all batches of a holder's release have arrived."""
        return self._received_releases.has_release_from(giver, joined_version)

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

    def _moves_any(self, joiner: InstanceId, digests: Iterable[bytes]) -> bool:
        return any(
            joiner in self._view.ownership.joining_owners(key_number(digest))
            for digest in digests
        )

    def _moving_entries(
        self, joiner: InstanceId, now_s: float
    ) -> list[MovedEntry]:
        return [
            entry
            for entry in self._ledger.export(now_s=now_s)
            if joiner
            in self._view.ownership.joining_owners(key_number(entry.digest))
        ]
