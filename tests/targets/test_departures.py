"""Tests the book of targets that have left."""

from fescueknot.targets.departures import Departure, DepartureBook


def _departure(instance='i-1', until_ms=1000):
    return Departure(instance=instance, until_ms=until_ms)


class TestBook:
    """What is held, and for how long."""

    def test_starts_up_to_the_time_have_left(self):
        book = DepartureBook()
        assert book.add(_departure(), 0)
        assert book.has_left('i-1', 1000)
        assert not book.has_left('i-1', 1001)
        assert not book.has_left('i-2', 1)

    def test_a_departure_is_new_once(self):
        book = DepartureBook()
        book.add(_departure(), 0)
        assert not book.add(_departure(), 1)

    def test_an_older_one_changes_nothing(self):
        book = DepartureBook()
        book.add(_departure(until_ms=2000), 0)
        assert not book.add(_departure(until_ms=1000), 1)
        assert book.has_left('i-1', 2000)

    def test_the_newest_come_first(self):
        book = DepartureBook()
        for index in range(5):
            book.add(_departure(f'i-{index}'), index)
        newest = [one.instance for one in book.newest(2)]
        assert newest == ['i-4', 'i-3']

    def test_it_is_bounded(self, monkeypatch):
        monkeypatch.setattr('fescueknot.targets.departures._MAX_DEPARTURES', 3)
        book = DepartureBook()
        for index in range(5):
            book.add(_departure(f'i-{index}'), 0)
        assert len(book) == 3
        assert not book.has_left('i-0', 1)
        assert book.has_left('i-4', 1)

    def test_old_ones_are_forgotten(self):
        book = DepartureBook()
        book.add(_departure('i-1'), 0)
        book.add(_departure('i-2'), 200)
        book.add(_departure('i-3'), 301)
        assert not book.has_left('i-1', 1)
        assert book.has_left('i-2', 1)
