"""Parts of the protocol that the explicit check takes as given."""

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
from fescueknot.idempotency.ownership import HashRing
from fescueknot.idempotency.peer_clock import ClockSample, on_peer
from fescueknot.idempotency.received_releases import Receptions
from fescueknot.idempotency.roster_changes import (
    create_roster,
    join,
    leave,
    remove,
    serve,
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
        purpose=Purpose.RELEASE,
        giver=ONE,
        receiver=TWO,
        for_version=2,
        edition=edition,
    )
    return split(delivery, map(moved, range(entries)))


class TestReceptions:
    """A release counts once all batches of one edition are there."""

    def test_batches_of_two_editions_dont_add_up(self) -> None:
        first = release(1, entries=6)
        second = release(2, entries=6)
        receptions = Receptions()
        receptions.note(first[0])
        for batch in second[1:]:
            receptions.note(batch)
        assert not receptions.released_by(ONE, joined_version=2)
        receptions.note(second[0])
        assert receptions.released_by(ONE, joined_version=2)
        assert not receptions.released_by(ONE, joined_version=4)

    def test_a_later_edition_leaves_a_whole_one(self) -> None:
        receptions = Receptions()
        receptions.note(release(1)[0])
        receptions.note(release(2, entries=6)[0])
        assert receptions.released_by(ONE, joined_version=2)


class TestAbsorbing:
    """Entries that come from another ledger."""

    def test_the_entry_that_knows_more_wins(self) -> None:
        ledger = Ledger(bounds=LedgerBounds(), memory_s=100)
        for state in (EntryState.LOST, EntryState.DONE, EntryState.LOST):
            ledger.absorb(moved(1, state), now_s=0)
        assert ledger.find(moved(1).digest).state is EntryState.DONE

    def test_a_full_ledger_takes_nothing_over(self) -> None:
        bounds = LedgerBounds(total_bytes=150_000)
        ledger = Ledger(bounds=bounds, memory_s=100)
        ledger.absorb(moved(1), now_s=0)
        with pytest.raises(LedgerFullError):
            ledger.absorb(moved(2), now_s=0)


class TestRosterChanges:
    """Electorates and states across changes."""

    def test_electors_before_may_still_promise(self) -> None:
        roster = create_roster(service='s', instance=ONE)
        for joiner in (TWO, THREE):
            roster = serve(join(roster, joiner), joiner)
        gone = remove(suspend(roster, TWO), TWO, terms=Terms(), wall_s=10)
        assert gone.before == Electorate(electors=(ONE, THREE), quorum=2)
        assert gone.before.blocking == 1
        left = leave(gone, THREE)
        assert left.before == Electorate(electors=(ONE,), quorum=2)
        assert not left.before.blocking

    def test_changes_ask_for_the_right_state(self) -> None:
        roster = create_roster(service='s', instance=ONE)
        with pytest.raises(RosterChangeError):
            remove(roster, ONE, terms=Terms(), wall_s=0)
        with pytest.raises(RosterChangeError):
            join(roster, ONE)


class TestOwners:
    """Rendezvous hashing spreads keys and moves few."""

    def test_a_join_moves_keys_to_the_joiner_only(self) -> None:
        before = HashRing(instances=(ONE, TWO))
        after = HashRing(instances=(ONE, TWO, THREE))
        numbers = range(0, 1 << 64, 1 << 54)
        taken = 0
        for number in numbers:
            owner = after.owner(number)
            if owner != before.owner(number):
                assert owner == THREE
                taken += 1
        assert len(numbers) / 4 < taken < len(numbers) / 2


class TestClocks:
    """Times that come from elsewhere."""

    def test_an_expiry_on_a_peer_errs_early(self) -> None:
        sample = ClockSample(peer_s=500, received_s=100)
        early_s = 508 - on_peer(sample, 108)
        assert 0 < early_s < 1

    @pytest.mark.parametrize(
        ('text', 'made_s'),
        [
            ('017f22e2-79b0-7cc3-98c4-dc0c0c07398f', 1645557742),
            ('017f22e2-79b0-4cc3-98c4-dc0c0c07398f', None),
            ('entry-4711', None),
        ],
    )
    def test_only_uuids_of_version_seven_tell_time(
        self, text: str, made_s: float | None
    ) -> None:
        assert made_at_wall_s(text) == made_s
