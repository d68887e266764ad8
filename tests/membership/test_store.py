"""Reading and writing the store, with injected faults."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.identity import InstanceId
from fescueknot.membership.errors import (
    FeedCompactedError,
    FeedError,
    RosterWriteError,
)
from fescueknot.membership.feeds import StoreFeed
from fescueknot.membership.rosters import bucket_key, decode_bucket
from fescueknot.membership.rosterwriter import RosterWriter
from fescueknot.objectapi.faults import FaultPlan, FaultyStore, WatchFault
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.randomness import seeded
from fescueknot.roster import Member, Roster

_WHERE = places(regions=1, domains=1)


def _core():
    return Fleet(size=1, where=_WHERE).nodes[0].core


def _roster(service: str, version: int, name: str = 'a') -> Roster:
    member = Member(instance=InstanceId(name=name, incarnation=1))
    return Roster(service=service, version=version, members=(member,))


class TestStoreFeed:
    """Readings hold the changes of the store, with the time of the read."""

    def test_a_whole_copy_is_followed_by_changes(self):
        store = MemoryStore()
        feed = StoreFeed(store=store, wait_s=0)
        core = _core()
        first = store.create('rules/log/1', 'one')
        store.create('claims/1', 'of no interest')
        core.take_reading(feed.read_all(asked_at_s=1))
        store.delete('rules/log/1', first.version)
        store.create('roster/7', 'two')
        after = core.view.documents.cursor
        core.take_reading(feed.read_changes(after=after, asked_at_s=2))
        known = {
            document.key: document.content
            for document in core.documents_since(0)
        }
        assert known == {'rules/log/1': None, 'roster/7': 'two'}
        assert core.evidence(5).age_s == 3
        assert core.evidence(5).revision == 4

    def test_an_empty_watch_renews_the_evidence(self):
        store = MemoryStore()
        feed = StoreFeed(store=store, wait_s=0)
        core = _core()
        core.take_reading(feed.read_all(asked_at_s=1))
        core.take_reading(feed.read_changes(after=0, asked_at_s=7))
        assert core.evidence(8).age_s == 1

    def test_a_watch_continues_after_a_full_batch(self):
        store = MemoryStore()
        for number in range(1200):
            store.create(f'rules/log/{number}', 'x')
        core = _core()
        feed = StoreFeed(store=store, wait_s=0)
        core.take_reading(feed.read_changes(after=0, asked_at_s=3))
        assert core.evidence(3).revision == 1200
        assert core.evidence(3).age_s == 0

    @pytest.mark.parametrize(
        ('fault', 'error'),
        [
            (FaultPlan(down=True), FeedError),
            (FaultPlan(rate_limited=True), FeedError),
            (FaultPlan(watches=WatchFault.CLOSED), FeedError),
            (FaultPlan(watches=WatchFault.SILENT), FeedError),
            (FaultPlan(watches=WatchFault.COMPACTED), FeedCompactedError),
        ],
    )
    def test_store_faults_raise_feed_errors(self, fault, error):
        store = FaultyStore(
            inner=MemoryStore(), plan=fault, sleep=lambda pause_s: None
        )
        feed = StoreFeed(store=store, wait_s=0)
        with pytest.raises(error):
            feed.read_changes(after=0, asked_at_s=0)


class TestRosterWriter:
    """Rosters are written despite lost answers and concurrent writers."""

    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize(
        'plan',
        [
            FaultPlan(),
            FaultPlan(lost_answers_ratio=0.5),
            FaultPlan(lost_writes_ratio=0.5),
        ],
        ids=['good', 'lost answers', 'lost writes'],
    )
    def test_a_roster_is_written_once(self, plan, seed):
        inner = MemoryStore()
        store = FaultyStore(
            inner=inner, plan=plan, random_source=seeded(seed=seed)
        )
        writer = _writer(store)
        for version in (1, 2, 3):
            wanted = {'trust': _roster('trust', version)}
            result = writer.write(bucket_key('trust'), wanted)['trust']
            assert result.is_written
            assert result.roster.version == version
        stored = decode_bucket(inner.get(bucket_key('trust')).value)
        assert stored.find('trust') == _roster('trust', 3)

    def test_a_lost_race_returns_the_stored_roster(self):
        store = MemoryStore()
        writer = _writer(store)
        winner = {'trust': _roster('trust', 1, 'winner')}
        loser = {'trust': _roster('trust', 1, 'loser')}
        writer.write('roster/0', winner)
        result = writer.write('roster/0', loser)['trust']
        assert not result.is_written
        assert result.roster == winner['trust']

    def test_concurrent_writers_of_a_bucket_all_succeed(self):
        store = MemoryStore()
        services = [f'service-{number}' for number in range(8)]
        barrier = threading.Barrier(len(services))

        def write(service: str) -> bool:
            barrier.wait(timeout=10)
            wanted = {service: _roster(service, 1)}
            results = _writer(store).write('roster/0', wanted)
            return results[service].is_written

        with ThreadPoolExecutor(len(services)) as pool:
            assert all(pool.map(write, services))
        bucket = decode_bucket(store.get('roster/0').value)
        assert {roster.service for roster in bucket.rosters} == set(services)

    def test_queued_writes_of_a_bucket_share_one_update(self):
        store = MemoryStore()
        writer = RosterWriter(store=store, rng=seeded(seed=1), bucket_count=1)
        futures = [
            writer.submit(_roster(f'service-{number}', 1))
            for number in range(5)
        ]
        with ThreadPoolExecutor(1) as pool:
            writer.start(pool)
            assert all(
                future.result(timeout=10).is_written for future in futures
            )
            writer.stop()
        assert store.get('roster/0').version == 1

    def test_a_write_fails_while_the_store_is_down(self):
        store = FaultyStore(inner=MemoryStore(), plan=FaultPlan(down=True))
        writer = _writer(store)
        future = writer.submit(_roster('trust', 1))
        with ThreadPoolExecutor(1) as pool:
            writer.start(pool)
            with pytest.raises(RosterWriteError):
                future.result(timeout=10)
            writer.stop()


def _writer(store) -> RosterWriter:
    return RosterWriter(
        store=store, rng=seeded(seed=1), wait=lambda pause_s: None
    )
