"""The platform's store through our client."""

import asyncio

import pytest

from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from fescueknot.objectapi import follower as follower_module
from fescueknot.objectapi.errors import (
    Compacted,
    OutcomeUnknown,
    RateLimited,
    Unavailable,
)
from fescueknot.objectapi.follower import (
    Follower,
    FollowerSettings,
    Subscriber,
)
from fescueknot.platform.objects import PlatformStore
from fescueknot.randomness import seeded
from tools.standin.platform_store import PlatformStoreStandin


def _run(scenario, **settings):
    async def around():
        standin = PlatformStoreStandin(**settings)
        server = Server(handler=standin, report_error=lambda error: None)
        await server.listen('127.0.0.1', 0)
        port = server.port
        store = PlatformStore(address=Address(host='127.0.0.1', port=port))
        return await scenario(standin, store)

    return asyncio.run(asyncio.wait_for(around(), 30))


class TestReading:
    """Reading."""

    def test_pages_are_joined(self):
        async def scenario(standin, store):
            for index in range(7):
                standin.write('k', f'n{index}', {'x': index})
            standin.write('other', 'n', {})
            return await store.list('k')

        listing = _run(scenario, page_size=3)
        assert [one.key for one in listing.objects] == [
            f'k/n{index}' for index in range(7)
        ]
        assert listing.objects[3].value == '{"x":3}'

    def test_a_watch_tells_what_changed(self):
        async def scenario(standin, store):
            revision = standin.write('k', 'n', {'x': 1})
            watching = asyncio.ensure_future(store.watch('k', revision, 20))
            standin.write('k', 'n', {'x': 2})
            standin.remove('k', 'n')
            return await watching

        batch = _run(scenario)
        found = [(one.value, one.deleted) for one in batch.events]
        assert found[0] == ('{"x":2}', False)

    def test_a_watch_without_news_ends(self):
        async def scenario(standin, store):
            revision = standin.write('k', 'n', {'x': 1})
            return await store.watch('k', revision, 0.01)

        assert _run(scenario).events == ()

    def test_a_dropped_history_is_told(self):
        async def scenario(standin, store):
            revision = standin.write('k', 'n', {'x': 1})
            standin.write('k', 'n', {'x': 2})
            standin.compact()
            await store.watch('k', revision, 20)

        with pytest.raises(Compacted):
            _run(scenario)


class TestWriting:
    """Writing."""

    def test_an_object_is_made_and_replaced(self):
        async def scenario(standin, store):
            await store.put('k/n', '{"x":1}')
            await store.put('k/n', '{"x":2}')
            return standin.read('k')

        assert _run(scenario) == {'n': {'x': 2}}

    def test_removing_twice_is_no_error(self):
        async def scenario(standin, store):
            await store.put('k/n', '{"x":1}')
            await store.delete('k/n')
            await store.delete('k/n')
            return standin.read('k')

        assert _run(scenario) == {}


class TestFailures:
    """Failures."""

    @pytest.mark.parametrize(
        ('status', 'error'), [(503, Unavailable), (429, RateLimited)]
    )
    def test_a_refusal_did_nothing(self, status, error):
        async def scenario(standin, store):
            standin.failing = status
            await store.put('k/n', '{}')

        with pytest.raises(error):
            _run(scenario)

    def test_a_lost_answer_leaves_the_end_unknown(self):
        async def scenario(standin, store):
            standin.lose_writes = True
            await store.put('k/n', '{}')

        with pytest.raises(OutcomeUnknown):
            _run(scenario)

    def test_a_lost_answer_to_a_read_is_no_answer(self):
        async def scenario(standin, store):
            standin.failing = 500
            await store.list('k')

        with pytest.raises(Unavailable):
            _run(scenario)


class _Kept(Subscriber):
    def __init__(self):
        self.listings = []
        self.changes = []
        self.errors = []

    def apply_listing(self, listing):
        self.listings.append(listing)

    def apply_changes(self, changes, revision):
        self.changes.extend(changes)

    def record_failure(self, error):
        self.errors.append(error)


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.001)


class TestFollower:
    """Follower."""

    def _start(self, store, kept, **settings):
        fields = {'gather_s': 0, 'first_retry_s': 0.01, **settings}
        follower = Follower(
            store=store,
            kind='k',
            subscriber=kept,
            rng=seeded(seed=1),
            settings=FollowerSettings(**fields),
        )
        return follower, asyncio.ensure_future(follower.run())

    def test_changes_follow_the_listing(self):
        async def scenario(standin, store):
            standin.write('k', 'a', 1)
            kept = _Kept()
            _, running = self._start(store, kept)
            await _until(lambda: kept.listings)
            standin.write('k', 'b', 2)
            await _until(lambda: kept.changes)
            running.cancel()
            return kept.changes[0].key

        assert _run(scenario) == 'k/b'

    def test_it_lists_again_after_an_outage(self):
        async def scenario(standin, store):
            kept = _Kept()
            standin.failing = 503
            _, running = self._start(store, kept)
            await _until(lambda: kept.errors)
            standin.write('k', 'a', 1)
            standin.failing = 0
            await _until(lambda: kept.listings)
            running.cancel()
            return len(kept.listings[-1].objects)

        assert _run(scenario) == 1

    def test_it_lists_again_when_the_history_is_gone(self):
        async def scenario(standin, store):
            kept = _Kept()
            _, running = self._start(store, kept)
            await _until(lambda: kept.listings)
            standin.write('k', 'a', 1)
            standin.compact()
            await _until(lambda: kept.listings[-1].objects)
            running.cancel()
            return kept.errors

        assert _run(scenario) == []

    def test_a_nudge_reads_at_once(self):
        async def scenario(standin, store):
            kept = _Kept()
            follower, running = self._start(store, kept)
            await _until(lambda: kept.listings)
            follower.nudge()
            await _until(lambda: len(kept.listings) > 1)
            running.cancel()

        _run(scenario)

    def test_a_hurry_ends_the_pause_in_which_changes_gather(self):
        async def scenario(standin, store):
            kept = _Kept()
            follower, running = self._start(
                store, kept, gather_s=3600, hurried_gather_s=0
            )
            await _until(lambda: kept.listings)
            standin.write('k', 'a', 1)
            await _until(lambda: kept.changes)
            standin.write('k', 'b', 2)
            while len(kept.changes) < 2:
                follower.hurry()
                await asyncio.sleep(0.001)
            running.cancel()
            return kept.changes[1].key

        assert _run(scenario) == 'k/b'

    def test_pauses_begin_anew_after_a_listing(self, monkeypatch):
        pauses_s = []
        sleep = asyncio.sleep

        async def short_sleep(pause_s):
            pauses_s.append(pause_s)
            await sleep(0)

        async def scenario(standin, store):
            kept = _Kept()
            follower = Follower(
                store=store,
                kind='k',
                subscriber=kept,
                rng=seeded(seed=1),
                settings=FollowerSettings(first_retry_s=1, longest_retry_s=99),
            )
            monkeypatch.setattr(follower_module.asyncio, 'sleep', short_sleep)
            standin.failing = 503
            running = asyncio.ensure_future(follower.run())
            while len(kept.errors) < 5:
                await sleep(0.001)
            standin.failing = 0
            while not kept.listings:
                await sleep(0.001)
            pauses_s.clear()
            standin.failing = 503
            follower.nudge()
            while not pauses_s:
                await sleep(0.001)
            running.cancel()
            return pauses_s[0]

        assert _run(scenario) <= 1
