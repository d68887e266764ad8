"""Parts of the protocol that the explicit check does not vary."""

import pytest

from fescueknot.idempotency.batches import (
    Delivery,
    EntryBatch,
    Purpose,
    split,
)
from fescueknot.idempotency.entries import EntryState, MovedEntry
from fescueknot.idempotency.entry_table import LedgerBounds
from fescueknot.idempotency.errors import LedgerFullError, RosterChangeError
from fescueknot.idempotency.keys import made_at_wall_s
from fescueknot.idempotency.ledger import Ledger
from fescueknot.idempotency.ownership import RendezvousHash
from fescueknot.idempotency.peer_clock import ClockSample, peer_time
from fescueknot.idempotency.received_releases import ReceivedReleases
from fescueknot.idempotency.roster_changes import (
    create_roster,
    join,
    leave,
    remove,
    start_serving,
    suspend,
)
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Electorate

ONE = InstanceId(name='one', incarnation=1)
TWO = InstanceId(name='two', incarnation=1)
THREE = InstanceId(name='three', incarnation=1)


def moved(number: int, state: EntryState = EntryState.DONE) -> MovedEntry:
    return MovedEntry(
        digest=number.to_bytes(16, 'big'),
        state=state,
        fingerprint=b'',
        age_s=0,
        start_within_s=0,
        packed=bytes(100_000),
    )


def release(edition: int, entries: int = 0) -> tuple[EntryBatch, ...]:
    delivery = Delivery(
        purpose=Purpose.JOIN,
        giver=ONE,
        receiver=TWO,
        for_version=2,
        edition=edition,
    )
    return split(delivery, map(moved, range(entries)))


class TestReceivedReleases:
    """A release is complete once all batches of one edition have arrived."""

    def test_batches_of_two_editions_are_not_combined(self) -> None:
        first = release(1, entries=6)
        second = release(2, entries=6)
        releases = ReceivedReleases()
        releases.record(first[0])
        for batch in second[1:]:
            releases.record(batch)
        assert not releases.has_release_from(ONE, joined_version=2)
        releases.record(second[0])
        assert releases.has_release_from(ONE, joined_version=2)
        assert not releases.has_release_from(ONE, joined_version=4)

    def test_a_later_edition_does_not_replace_a_complete_one(self) -> None:
        releases = ReceivedReleases()
        releases.record(release(1)[0])
        releases.record(release(2, entries=6)[0])
        assert releases.has_release_from(ONE, joined_version=2)


class TestLedgerImport:
    """Entries that are imported from another ledger."""

    def test_the_higher_state_wins(self) -> None:
        ledger = Ledger(bounds=LedgerBounds(), entry_retention_s=100)
        for state in (EntryState.LOST, EntryState.DONE, EntryState.LOST):
            ledger.import_entry(moved(1, state), now_s=0)
        assert ledger.find(moved(1).digest).state is EntryState.DONE

    def test_a_full_ledger_refuses_an_entry(self) -> None:
        bounds = LedgerBounds(total_bytes=150_000)
        ledger = Ledger(bounds=bounds, entry_retention_s=100)
        ledger.import_entry(moved(1), now_s=0)
        with pytest.raises(LedgerFullError):
            ledger.import_entry(moved(2), now_s=0)


class TestRosterChanges:
    """Electorates and member states in roster changes."""

    def test_former_electors_are_the_serving_members_but_the_leaver(
        self,
    ) -> None:
        roster = create_roster(service='s', instance=ONE)
        for joiner in (TWO, THREE):
            roster = start_serving(join(roster, joiner), joiner)
        without_two = remove(
            suspend(roster, TWO), TWO, terms=Terms(), wall_s=10
        )
        assert without_two.before == Electorate(electors=(ONE, THREE), quorum=2)
        assert without_two.before.blocking_size == 1
        without_three = leave(without_two, THREE)
        assert without_three.before == Electorate(electors=(ONE,), quorum=2)
        assert not without_three.before.blocking_size

    def test_changes_require_the_right_state(self) -> None:
        roster = create_roster(service='s', instance=ONE)
        with pytest.raises(RosterChangeError):
            remove(roster, ONE, terms=Terms(), wall_s=0)
        with pytest.raises(RosterChangeError):
            join(roster, ONE)


class TestRendezvousHash:
    """Rendezvous hashing spreads keys evenly and moves few of them."""

    def test_a_join_moves_keys_only_to_the_joiner(self) -> None:
        before = RendezvousHash(instances=(ONE, TWO))
        after = RendezvousHash(instances=(ONE, TWO, THREE))
        numbers = range(0, 1 << 64, 1 << 54)
        moved_keys = 0
        for number in numbers:
            owner = after.owner(number)
            if owner != before.owner(number):
                assert owner == THREE
                moved_keys += 1
        assert len(numbers) / 4 < moved_keys < len(numbers) / 2


class TestTimes:
    """Times from peers and callers."""

    def test_an_expiry_on_a_peer_is_never_late(self) -> None:
        sample = ClockSample(peer_s=500, received_s=100)
        early_s = 508 - peer_time(sample, 108)
        assert 0 < early_s < 1

    @pytest.mark.parametrize(
        ('text', 'made_s'),
        [
            ('017f22e2-79b0-7cc3-98c4-dc0c0c07398f', 1645557742),
            ('017f22e2-79b0-4cc3-98c4-dc0c0c07398f', None),
            ('entry-4711', None),
        ],
    )
    def test_only_uuids_of_version_seven_contain_a_time(
        self, text: str, made_s: float | None
    ) -> None:
        assert made_at_wall_s(text) == made_s
