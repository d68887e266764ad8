"""Tests conditional writes and watches of the in-memory object store."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from fescueknot.objectapi import errors
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.messages import MAX_VALUE_BYTES


class TestConditionalWrites:
    """Writes take effect only if their condition is met."""

    def test_second_create_conflicts(self) -> None:
        store = MemoryStore()
        store.create('a', '1')
        with pytest.raises(errors.Conflict):
            store.create('a', '2')
        assert store.get('a').value == '1'

    def test_update_of_an_old_version_conflicts(self) -> None:
        store = MemoryStore()
        first = store.create('a', '1')
        second = store.update('a', '2', first.version)
        with pytest.raises(errors.Conflict):
            store.update('a', '3', first.version)
        assert store.get('a') == second

    def test_version_does_not_restart_after_a_deletion(self) -> None:
        store = MemoryStore()
        first = store.create('a', '1')
        store.delete('a', first.version)
        store.create('a', '2')
        with pytest.raises(errors.Conflict):
            store.update('a', '3', first.version)

    def test_missing_object_is_not_found(self) -> None:
        store = MemoryStore()
        with pytest.raises(errors.NotFound):
            store.get('a')
        with pytest.raises(errors.NotFound):
            store.update('a', '1', 1)
        with pytest.raises(errors.NotFound):
            store.delete('a', 1)

    def test_too_large_value_is_refused(self) -> None:
        with pytest.raises(errors.TooLarge):
            MemoryStore().create('a', 'x' * (MAX_VALUE_BYTES + 1))


class TestWatches:
    """A watch returns each change under its prefix once, in order."""

    def test_watch_returns_the_changes_since_a_listing(self) -> None:
        store = MemoryStore()
        store.create('p/1', 'old')
        listing = store.list('p/')
        created = store.create('p/2', 'new')
        store.create('q/1', 'other')
        store.delete('p/2', created.version)
        batch = store.watch('p/', listing.revision, 0)
        seen = [(event.key, event.deleted) for event in batch.events]
        assert seen == [('p/2', False), ('p/2', True)]
        assert store.watch('p/', batch.revision, 0).events == ()

    def test_waiting_watch_returns_after_a_change(self) -> None:
        store = MemoryStore()
        with ThreadPoolExecutor() as pool:
            waiting = pool.submit(store.watch, 'p/', 0, 30)
            store.create('q/1', 'other')
            store.create('p/1', 'new')
            assert waiting.result().events[0].key == 'p/1'

    def test_long_backlog_is_returned_in_batches(self) -> None:
        store = MemoryStore()
        for number in range(1200):
            store.create(f'p/{number:04}', '')
        seen: list[str] = []
        revision = 0
        while len(seen) < 1200:
            batch = store.watch('p/', revision, 0)
            assert batch.events
            seen += [event.key for event in batch.events]
            revision = batch.revision
        assert seen == sorted(seen)

    def test_watch_from_a_compacted_revision_fails(self) -> None:
        store = MemoryStore(history_limit=2)
        for number in range(4):
            store.create(f'p/{number}', '')
        with pytest.raises(errors.Compacted):
            store.watch('p/', 1, 0)
        assert len(store.watch('p/', 2, 0).events) == 2
        store.compact()
        with pytest.raises(errors.Compacted):
            store.watch('p/', 2, 0)
        assert store.watch('p/', 4, 0).events == ()
