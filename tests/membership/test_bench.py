"""Gossip benchmarks stay within their bounds at small fleet sizes."""

import pytest

from fescueknot.bench.gossipfaults import measure_faults
from fescueknot.bench.gossipjoins import measure_joins
from fescueknot.bench.gossipruns import measure
from fescueknot.bench.gossipslopes import fit
from fescueknot.gossip.peer_choice import SpatialChoice

_BYTES_BOUND_PER_S = 2000
_SENT_AND_RECEIVED = 2
_CHANGE_BOUND_S = 9
_PACKET_BYTES = 1500


class TestGossipRun:
    """Traffic and propagation times of a fleet at the planned change rate."""

    @pytest.mark.parametrize('size', [24, 104])
    def test_bounds(self, size):
        run = measure(size=size, choice=SpatialChoice, seed=3)
        assert run.loaded_bytes_per_s * _SENT_AND_RECEIVED <= _BYTES_BOUND_PER_S
        assert run.largest_datagram_bytes <= _PACKET_BYTES
        assert run.rule_longest_s <= _CHANGE_BOUND_S
        assert run.drain_longest_s <= _CHANGE_BOUND_S
        assert not run.bulk_copies


class TestFaultRun:
    """Network cuts evict nothing; changes arrive after all readers died."""

    def test_faults_stay_within_bounds(self):
        run = measure_faults(size=78, seed=3)
        assert not run.domain_lost_evictions
        assert not run.apart_evictions
        assert run.merge_s <= _CHANGE_BOUND_S
        assert run.suspect_s < run.lost_s
        assert run.readers_lost_s <= _CHANGE_BOUND_S


class TestJoinRun:
    """Hosts that start at the same time write their rosters once each."""

    def test_each_host_writes_once(self):
        run = measure_joins(joiners=600, seed=3)
        assert run.writes == run.joiners


class TestSlope:
    """Slopes of a figure per doubling of the fleet size."""

    def test_fit_finds_a_line(self):
        slope = fit((2, 4, 16), (3, 5, 9))
        assert slope.at(64) == pytest.approx(13)
