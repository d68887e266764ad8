"""Rate of calls to the store, and age of the evidence on all nodes."""

import pytest

from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.bench.gossipload import Load
from fescueknot.bench.gossipreads import measure_reads
from fescueknot.membership.feeds import StoreFeed
from fescueknot.objectapi.memory_store import MemoryStore

_READS_BOUND_PER_S = 1000
_LEASE_S = 8.0


class TestStoreReads:
    """The rate of store calls is bounded whatever the size of the fleet."""

    @pytest.mark.parametrize(
        'calls', measure_reads(), ids=lambda calls: calls.situation
    )
    def test_store_calls_stay_below_the_bound(self, calls):
        assert 0 < calls.fleet_with_fallback_per_s <= _READS_BOUND_PER_S

    def test_an_empty_compacted_store_is_watched(self):
        store = MemoryStore()
        store.compact()
        feed = StoreFeed(store=store, wait_s=0)
        assert feed.read_changes(after=0, asked_at_s=0).is_current


class TestFreshness:
    """Evidence is younger than a lease on all nodes, so leases can use it."""

    def test_all_nodes_have_recent_evidence(self):
        fleet = Fleet(size=192, where=places(regions=6, domains=13))
        load = Load(fleet=fleet)
        load.run(10, rates=load.rates())
        for _ in range(10):
            load.run(1, rates=load.rates())
            now_s = fleet.network.now_s
            ages_s = [
                node.core.evidence(node.clock_s(now_s)).age_s
                for node in fleet.nodes
            ]
            assert max(ages_s) < _LEASE_S

    def test_evidence_ages_while_the_store_is_down(self):
        fleet = Fleet(size=24, where=places(regions=3, domains=6))
        load = Load(fleet=fleet)
        load.run(5, rates=())
        load.is_store_down = True
        load.run(60, rates=())
        now_s = fleet.network.now_s
        ages_s = [
            node.core.evidence(node.clock_s(now_s)).age_s
            for node in fleet.nodes
        ]
        assert min(ages_s) >= 60
