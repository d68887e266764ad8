"""Requests that are held back, kept in the object store."""

import asyncio

import pytest

from fescueknot.quarantine.book import SuspectBook
from fescueknot.quarantine.evidence import FIRST_HOLD_S
from fescueknot.randomness import seeded
from fescueknot.relay.quarantine_archive import (
    QUARANTINE_KIND,
    QuarantineArchive,
)
from tests.relay.fakes import MemoryStore, RecordingObserver
from tests.relay.simulated_loop import run_simulated

_CRASHING = 'd' * 16
_LATER = 'e' * 16


def _crashed_book(now_s):
    book = SuspectBook()
    for number in range(3):
        book.record_crash((f'i-{number}', 1), (_CRASHING,), now_s)
    return book


async def _run_archive(store, book, *, wall_s, save=()):
    observer = RecordingObserver()
    archive = QuarantineArchive(
        store=store,
        book=book,
        observer=observer,
        rng=seeded(seed=1),
        wall_s=lambda: wall_s,
    )
    archive.save(tuple(save))
    task = asyncio.ensure_future(archive.run())
    await asyncio.sleep(60)
    task.cancel()
    return [event for event, _ in observer.events]


async def _saved_store(**kwargs):
    store = MemoryStore(**kwargs)
    now_s = asyncio.get_running_loop().time()
    await _run_archive(
        store, _crashed_book(now_s), wall_s=1000, save=(_CRASHING,)
    )
    return store


class TestRestartOfAllNodes:
    """Nodes that know nothing but what the store holds."""

    # Guards against a request that is forgotten when all nodes are killed.
    @pytest.mark.parametrize('failures', [0, 4])
    def test_a_request_is_held_back_for_the_rest_of_its_time(self, failures):
        async def scenario():
            store = await _saved_store(failures=failures)
            store.failures = failures
            book = SuspectBook()
            await _run_archive(store, book, wall_s=1100)
            (held,) = book.held(asyncio.get_running_loop().time())
            return held

        held = run_simulated(scenario)
        assert held.fingerprint == _CRASHING
        assert FIRST_HOLD_S - 230 < held.left_s < FIRST_HOLD_S - 100

    def test_what_is_of_no_use_any_more_is_deleted(self):
        async def scenario():
            store = await _saved_store()
            book = SuspectBook()
            await _run_archive(store, book, wall_s=1000 + 3 * FIRST_HOLD_S)
            return store.values, len(book)

        assert run_simulated(scenario) == ({}, 0)

    def test_an_unreadable_object_is_left_out_and_logged(self):
        async def scenario():
            store = await _saved_store()
            store.values[f'{QUARANTINE_KIND}/x'] = '[1'
            book = SuspectBook()
            events = await _run_archive(store, book, wall_s=1000)
            return events, len(book)

        assert run_simulated(scenario) == (['store.quarantine_unreadable'], 1)


class TestSave:
    """Requests that begin to be held back while others are written."""

    # Guards against a record that is dropped while the store is busy.
    def test_one_that_comes_during_a_write_is_written_too(self):
        async def scenario():
            now_s = asyncio.get_running_loop().time()
            book = _crashed_book(now_s)
            for number in range(3):
                book.record_crash((f'j-{number}', 1), (_LATER,), now_s)
            store = MemoryStore()
            archive = QuarantineArchive(
                store=store,
                book=book,
                observer=RecordingObserver(),
                rng=seeded(seed=1),
                wall_s=lambda: 1000,
            )
            put = store.put

            async def put_while_another_comes(key, value, **options):
                await put(key, value, **options)
                if key.endswith(_CRASHING):
                    archive.save((_LATER,))

            store.put = put_while_another_comes
            archive.save((_CRASHING,))
            task = asyncio.ensure_future(archive.run())
            await asyncio.sleep(10)
            task.cancel()
            return {key.rpartition('/')[2] for key in store.values}

        assert run_simulated(scenario) == {_CRASHING, _LATER}


class TestDrill:
    """The store comes back from a copy that lacks what was written last."""

    def test_a_lost_record_is_written_again(self):
        # Guards against a request that is forgotten after a drill and a kill.
        async def scenario():
            store = MemoryStore()
            now_s = asyncio.get_running_loop().time()
            archive = QuarantineArchive(
                store=store,
                book=_crashed_book(now_s),
                observer=RecordingObserver(),
                rng=seeded(seed=1),
                wall_s=lambda: 1000,
            )
            archive.save((_CRASHING,))
            task = asyncio.ensure_future(archive.run())
            await asyncio.sleep(5)
            store.values.clear()
            archive.write_again()
            await asyncio.sleep(5)
            task.cancel()
            return list(store.values)

        assert run_simulated(scenario) == [f'{QUARANTINE_KIND}/{_CRASHING}']
