"""Evidence on requests that were at targets when these crashed."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.quarantine.book import Standing, SuspectBook
from fescueknot.quarantine.evidence import (
    FIRST_HOLD_S,
    MAX_HOLD_S,
    SUSPICION_S,
)
from fescueknot.quarantine.messages import Crash, SuspectRecord

_CRASHING = 'd' * 16
_OTHER = 'a' * 16


def _starts():
    return ((f'i-{number}', number) for number in itertools.count(1))


def _crash(book, times_s, fingerprint=_CRASHING, starts=None):
    for start, at_s in zip(starts or _starts(), times_s, strict=False):
        book.record_crash(start, (fingerprint,), at_s)


def _all_records(book, now_s):
    fingerprints = book.fingerprints(now_s, only_held=False)
    return book.records_of(fingerprints, now_s)


def _age_of_hold(book, now_s):
    held = book.held_request(_CRASHING, now_s)
    return round(held.left_s, 3) if held else None


class TestStanding:
    """How many crashes lead to what."""

    @pytest.mark.parametrize(
        ('crashes', 'standing'),
        [
            (0, Standing.CLEAR),
            (1, Standing.CLEAR),
            (2, Standing.SUSPECTED),
            (3, Standing.QUARANTINED),
        ],
    )
    def test_follows_from_the_number_of_crashes(self, crashes, standing):
        book = SuspectBook()
        _crash(book, range(crashes))
        assert book.standing(_CRASHING, 10) is standing

    def test_one_crash_counts_once_however_often_it_is_told(self):
        book = SuspectBook()
        for at_s in range(5):
            book.record_crash(('i-1', 1), (_CRASHING,), at_s)
        assert book.standing(_CRASHING, 5) is Standing.CLEAR

    # Guards against a common request that is blamed for others' crashes.
    def test_a_success_between_crashes_clears(self):
        book = SuspectBook()
        starts = _starts()
        _crash(book, (0, 1), starts=starts)
        assert book.record_success(_CRASHING, 2)
        _crash(book, (5, 6), starts=starts)
        assert book.standing(_CRASHING, 7) is Standing.SUSPECTED

    # Guards against a common request that is at targets that crash together.
    def test_a_success_shortly_before_crashes_speaks_for_a_request(self):
        book, other = SuspectBook(), SuspectBook()
        other.record_success(_CRASHING, 9.5)
        _crash(book, (10, 10, 10))
        other.merge(_all_records(book, 10), 10)
        book.merge(_all_records(other, 10), 10)
        for one in (book, other):
            assert one.standing(_CRASHING, 10) is Standing.CLEAR

    def test_a_success_long_before_does_not(self):
        book = SuspectBook()
        book.record_success(_CRASHING, 1)
        _crash(book, (10, 10, 10))
        assert book.standing(_CRASHING, 10) is Standing.QUARANTINED

    def test_a_success_without_evidence_leaves_none(self):
        book = SuspectBook()
        assert not book.record_success(_CRASHING, 1)
        assert not book


class TestHold:
    """For how long requests are held back."""

    def test_crashes_of_requests_on_their_way_do_not_prolong_it(self):
        book = SuspectBook()
        _crash(book, (0, 1, 2, 2.5, 3))
        assert _age_of_hold(book, 2) == FIRST_HOLD_S

    def test_it_grows_with_each_crash_after_a_release(self):
        book = SuspectBook()
        starts = _starts()
        _crash(book, (0, 1, 2), starts=starts)
        durations_s = []
        now_s = 2
        for _ in range(6):
            now_s += _age_of_hold(book, now_s)
            assert book.standing(_CRASHING, now_s) is Standing.SUSPECTED
            _crash(book, (now_s,), starts=starts)
            durations_s.append(_age_of_hold(book, now_s))
        assert durations_s == [1200, 4800, 19_200, 21_600, 21_600, 21_600]
        assert durations_s[-1] == MAX_HOLD_S

    def test_suspicion_and_holds_are_forgotten(self):
        book = SuspectBook()
        _crash(book, (0, 1, 2))
        _crash(book, (0,), fingerprint=_OTHER)
        book.prune(SUSPICION_S)
        assert book.standing(_CRASHING, SUSPICION_S) is Standing.SUSPECTED
        assert len(book) == 1
        book.prune(2 + 2 * FIRST_HOLD_S)
        assert not book


class TestBound:
    """The size of the book."""

    def test_the_weakest_evidence_is_dropped_first(self):
        book = SuspectBook(max_fingerprints=64)
        _crash(book, (0, 0, 0))
        for number in range(1000):
            fingerprint = f'{number:016x}'
            book.record_crash((f'j-{number}', 1), (fingerprint,), number)
            assert len(book) <= 64
        assert book.standing(_CRASHING, 1) is Standing.QUARANTINED

    def test_crashes_of_one_fingerprint_are_bounded(self):
        book = SuspectBook()
        _crash(book, range(500))
        (record,) = _all_records(book, 500)
        assert len(record.crashes) <= 16


_MERGED = st.lists(
    st.builds(
        SuspectRecord,
        fingerprint=st.sampled_from((_CRASHING, _OTHER)),
        crashes=st.lists(
            st.builds(
                Crash,
                instance=st.sampled_from(('i-1', 'i-2', 'i-3', 'i-4')),
                started_ms=st.just(1),
                age_ms=st.just(1000),
            ),
            max_size=3,
        ).map(tuple),
        cleared_age_ms=st.sampled_from((-1, -1, 500, 2000)),
    ),
    max_size=6,
)


class TestMerge:
    """Records of other nodes, in any order and any number of times."""

    @settings(deadline=None, derandomize=True)
    @given(records=_MERGED, order=st.randoms(use_true_random=False))
    def test_the_order_of_records_does_not_matter(self, records, order):
        shuffled = [*records, *records]
        order.shuffle(shuffled)
        books = (SuspectBook(), SuspectBook())
        books[0].merge(records, 10)
        for record in shuffled:
            books[1].merge((record,), 10)
        assert books[0].digest(10, only_held=False) == books[1].digest(
            10, only_held=False
        )
        for fingerprint in (_CRASHING, _OTHER):
            assert books[0].standing(fingerprint, 10) == books[1].standing(
                fingerprint, 10
            )

    def test_what_was_known_is_no_news(self):
        book = SuspectBook()
        _crash(book, (0, 1, 2))
        assert not book.merge(_all_records(book, 3), 3)

    def test_a_hold_is_taken_over_with_its_remaining_time(self):
        book, other = SuspectBook(), SuspectBook()
        _crash(book, (0, 1, 2))
        other.merge(_all_records(book, 102), 7)
        assert _age_of_hold(other, 7) == FIRST_HOLD_S - 100

    @pytest.mark.parametrize(
        'text', ['', 'no number here!!', 'f' * 17, '-' + 'f' * 15]
    )
    def test_an_unreadable_fingerprint_is_left_out(self, text):
        book = SuspectBook()
        assert not book.merge((SuspectRecord(fingerprint=text),), 0)
        assert not book
