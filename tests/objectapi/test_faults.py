"""Tests the faults that ``FaultyStore`` injects."""

import pytest

from fescueknot.objectapi import errors
from fescueknot.objectapi.faults import FaultPlan, FaultyStore, WatchFault
from fescueknot.objectapi.memory_store import MemoryStore


@pytest.fixture
def inner() -> MemoryStore:
    store = MemoryStore()
    store.create('p/1', 'old')
    return store


@pytest.fixture
def store(inner: MemoryStore) -> FaultyStore:
    return FaultyStore(inner=inner, sleep=lambda _delay_s: None)


_REFUSALS = (
    (FaultPlan(down=True), errors.Unavailable),
    (FaultPlan(rate_limited=True), errors.RateLimited),
    (FaultPlan(lost_writes_ratio=1), errors.OutcomeUnknown),
)


class TestFaultyStore:
    """Faults of reads, writes and watches, and their limit to a prefix."""

    @pytest.mark.parametrize(('plan', 'error'), _REFUSALS)
    def test_failed_write_has_no_effect(
        self, inner: MemoryStore, store: FaultyStore, plan, error
    ) -> None:
        store.set_plan(plan)
        with pytest.raises(error):
            store.create('p/2', 'new')
        with pytest.raises(errors.NotFound):
            inner.get('p/2')

    def test_write_with_a_lost_response_takes_effect(
        self, inner: MemoryStore, store: FaultyStore
    ) -> None:
        store.set_plan(FaultPlan(lost_answers_ratio=1))
        with pytest.raises(errors.OutcomeUnknown):
            store.create('p/2', 'new')
        assert inner.get('p/2').value == 'new'

    def test_reads_are_stale_until_the_plan_is_replaced(
        self, inner: MemoryStore, store: FaultyStore
    ) -> None:
        store.set_plan(FaultPlan(stale_reads=True))
        inner.update('p/1', 'new', 1)
        assert store.get('p/1').value == 'old'
        assert store.list('p/').objects[0].value == 'old'
        assert store.watch('p/', 1, 0).events == ()
        store.set_plan(FaultPlan())
        assert store.get('p/1').value == 'new'

    @pytest.mark.parametrize(
        ('fault', 'error'),
        [
            (WatchFault.CLOSED, errors.Unavailable),
            (WatchFault.SILENT, errors.Unavailable),
            (WatchFault.COMPACTED, errors.Compacted),
        ],
    )
    def test_watch_fault_raises_its_error(
        self, store: FaultyStore, fault, error
    ) -> None:
        store.set_plan(FaultPlan(watches=fault))
        with pytest.raises(error):
            store.watch('p/', 0, 1)

    def test_keys_without_the_prefix_have_no_faults(
        self, store: FaultyStore
    ) -> None:
        store.set_plan(FaultPlan(down=True, prefix='q/'))
        assert store.get('p/1').value == 'old'
        with pytest.raises(errors.Unavailable):
            store.get('q/1')
