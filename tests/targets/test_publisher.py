"""The publisher: writes until the store has the entry."""

import asyncio

import msgspec

from fescueknot.identity import Address, Place
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import OutcomeUnknown, Unavailable
from fescueknot.objectapi.messages import StoredObject
from fescueknot.randomness import seeded
from fescueknot.targets.messages import TargetEntry
from fescueknot.targets.publisher import EntryPublisher

_ENTRY = TargetEntry(
    instance='i-1',
    started_ms=1,
    service='entries',
    place=Place(region='sierra', failure_domain='sierra-a'),
    node=Address(host='10.0.0.1', port=1),
    slots=6,
)


class _Store(AsyncObjectStore):
    """Keeps values; fails with each of ``failures`` first."""

    def __init__(self, *failures):
        self.values = {}
        self.failures = list(failures)
        self.writes = 0
        self.guesses = []
        self.told = []

    async def list(self, kind, *, stale=False):
        raise NotImplementedError

    async def get(self, key):
        raise NotImplementedError

    async def watch(self, kind, since_revision, timeout_s, *, stale=False):
        raise NotImplementedError

    async def put(self, key, value, *, likely_new=False):
        self._write()
        self.guesses.append(likely_new)
        self.values[key] = value
        return StoredObject(key=key, value=value, version=1, revision=1)

    async def delete(self, key):
        self._write()
        self.values.pop(key, None)

    def _write(self):
        self.writes += 1
        if self.failures:
            raise self.failures.pop(0)


def _run(store, scenario):
    async def around():
        publisher = EntryPublisher(
            store=store,
            node='n1',
            rng=seeded(seed=1),
            note=lambda event, **details: None,
            on_write=store.told.append,
        )
        running = asyncio.ensure_future(publisher.run())
        try:
            return await asyncio.wait_for(scenario(publisher), 30)
        finally:
            running.cancel()

    return asyncio.run(around())


class TestPublisher:
    """Publisher."""

    def test_the_entry_is_written_once(self):
        store = _Store()

        async def scenario(publisher):
            publisher.set_observed(None)
            publisher.set_desired(_ENTRY)
            settled = await publisher.wait_reconciled(20)
            publisher.set_observed(_ENTRY)
            return settled

        assert _run(store, scenario)
        assert store.writes == 1
        text = store.values['fescueknot-targets/n1']
        assert msgspec.json.decode(text, type=TargetEntry) == _ENTRY
        assert [stored.value for stored in store.told] == [text]

    def test_the_store_is_told_whether_the_entry_is_new(self):
        store = _Store()

        async def scenario(publisher):
            publisher.set_observed(None)
            publisher.set_desired(_ENTRY)
            await publisher.wait_reconciled(20)
            publisher.set_desired(msgspec.structs.replace(_ENTRY, slots=7))
            await publisher.wait_reconciled(20)

        _run(store, scenario)
        assert store.guesses == [True, False]

    def test_failures_are_repeated(self):
        store = _Store(Unavailable('down'), OutcomeUnknown('lost'))

        async def scenario(publisher):
            publisher.set_desired(_ENTRY)
            return await publisher.wait_reconciled(20)

        assert _run(store, scenario)
        assert store.values

    def test_nothing_is_removed_before_it_is_known_what_is_wanted(self):
        store = _Store()
        store.values['fescueknot-targets/n1'] = 'old'

        async def scenario(publisher):
            publisher.set_observed(_ENTRY)
            await publisher.wait_reconciled(0.01)

        _run(store, scenario)
        assert store.writes == 0

    def test_a_lost_entry_is_written_again(self):
        store = _Store()

        async def scenario(publisher):
            publisher.set_desired(_ENTRY)
            await publisher.wait_reconciled(20)
            store.values.clear()
            publisher.set_observed(None)
            return await publisher.wait_reconciled(20)

        assert _run(store, scenario)
        assert store.values

    def test_a_leaving_target_is_removed(self):
        store = _Store()

        async def scenario(publisher):
            publisher.set_desired(_ENTRY)
            await publisher.wait_reconciled(20)
            publisher.set_desired(None)
            return await publisher.wait_reconciled(20)

        assert _run(store, scenario)
        assert store.values == {}

    def test_waiting_ends_while_the_store_is_away(self):
        store = _Store(*(Unavailable('down') for _ in range(100)))

        async def scenario(publisher):
            publisher.set_desired(_ENTRY)
            return await publisher.wait_reconciled(0.01)

        assert not _run(store, scenario)
