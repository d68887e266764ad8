"""The measured runs stay within the stated bounds at small sizes."""

import pytest

from fescueknot.bench.gossipfaults import measure_faults
from fescueknot.bench.gossipjoins import measure_joins
from fescueknot.bench.gossipruns import measure
from fescueknot.bench.gossipslopes import fit
from fescueknot.gossip.peer_choice import SpatialChoice

_BYTES_BOUND_PER_S = 2000
_BOTH_WAYS = 2
_CHANGE_BOUND_S = 9
_PACKET_BYTES = 1500


class TestGossipRun:
    """Bytes, datagrams and times of a fleet at the planned change rate."""

    @pytest.mark.parametrize('size', [24, 104])
    def test_bounds(self, size):
        run = measure(size=size, choice=SpatialChoice, seed=3)
        assert run.loaded_bytes_per_s * _BOTH_WAYS <= _BYTES_BOUND_PER_S
        assert run.largest_datagram_bytes <= _PACKET_BYTES
        assert run.rule_longest_s <= _CHANGE_BOUND_S
        assert run.drain_longest_s <= _CHANGE_BOUND_S
        assert not run.bulk_copies


class TestFaultRun:
    """Nobody is evicted by a cut; changes come though all readers died."""

    def test_faults_stay_within_bounds(self):
        run = measure_faults(size=78, seed=3)
        assert not run.domain_lost_evictions
        assert not run.apart_evictions
        assert run.merge_s <= _CHANGE_BOUND_S
        assert run.suspect_s < run.lost_s
        assert run.readers_lost_s <= _CHANGE_BOUND_S


class TestJoinRun:
    """Hosts that start at once all get on their rosters, once each."""

    def test_each_writes_once(self):
        run = measure_joins(joiners=600, seed=3)
        assert run.writes == run.joiners


class TestSlope:
    """Slopes over doublings."""

    def test_a_line_is_found(self):
        slope = fit((2, 4, 16), (3, 5, 9))
        assert slope.at(64) == pytest.approx(13)
