"""Whom a node asks, whom it tells, and who reads the store."""

import collections
import itertools

import pytest

from fescueknot.gossip.known_peers import GossipPeer, KnownPeers
from fescueknot.gossip.readers import (
    STALE_S,
    readers_of,
    should_read_as_fallback,
)
from fescueknot.identity import Address, Place
from fescueknot.randomness import seeded

_REGIONS = ('sierra', 'costa', 'austro')


def _fleet(domains=3, hosts=20):
    where = itertools.product(_REGIONS, range(domains), range(hosts))
    return tuple(
        GossipPeer(
            name=f'{region}-{domain}-{host}',
            place=Place(region=region, failure_domain=f'{region}-{domain}'),
            address=Address(host='10.0.0.1', port=1),
        )
        for region, domain, host in where
    )


def _known_peers(fleet, at=0):
    own = fleet[at]
    known_peers = KnownPeers(name=own.name, place=own.place)
    known_peers.update(fleet)
    return known_peers


def _readers(fleet):
    return {
        partner.name
        for at, partner in enumerate(fleet)
        if _known_peers(fleet, at).is_reader()
    }


class TestReaders:
    """Readers without an election."""

    def test_each_failure_domain_has_one(self):
        fleet = _fleet()
        readers = _readers(fleet)
        domains = collections.Counter(
            partner.place for partner in fleet if partner.name in readers
        )
        assert set(domains.values()) == {1}
        assert len(domains) == 9

    def test_a_region_of_one_domain_has_two(self):
        assert len(_readers(_fleet(domains=1))) == 2 * len(_REGIONS)

    def test_one_that_does_not_answer_is_replaced(self):
        fleet = _fleet(domains=1, hosts=3)
        place = fleet[0].place
        names = {place: [one.name for one in fleet if one.place == place]}
        first, second = readers_of(place, names, ())
        others = set(names[place]) - {first}
        assert set(readers_of(place, names, {first})) == others
        assert second in readers_of(place, names, {first})

    def test_a_silent_reader_is_noticed_and_heard_again(self):
        fleet = _fleet(domains=3, hosts=4)
        by_name = {one.name: at for at, one in enumerate(fleet)}
        reader = next(
            name for name in _readers(fleet) if name.startswith('sierra-0')
        )
        others = [
            one.name
            for one in fleet
            if one.place == fleet[by_name[reader]].place and one.name != reader
        ]
        heir = None
        rng = seeded(seed=1)
        for name in others:
            known_peers = _known_peers(fleet, by_name[name])
            for _ in range(60):
                asked = known_peers.next_peer(rng)
                if asked.name != reader:
                    known_peers.record_alive(asked.name)
            heir = name if known_peers.is_reader() else heir
            known_peers.record_alive(reader)
            assert not known_peers.is_reader()
        assert heir is not None

    def test_an_unlisted_node_is_no_reader(self):
        fleet = _fleet()
        known_peers = KnownPeers(name='new', place=fleet[0].place)
        known_peers.update(fleet)
        assert not known_peers.is_reader()


class TestFallback:
    """Reading without being a reader."""

    def test_nobody_reads_while_evidence_is_recent(self):
        rng = seeded(seed=1)
        assert not any(
            should_read_as_fallback(
                age_s=STALE_S, elapsed_s=9, nodes=1, rng=rng
            )
            for _ in range(100)
        )

    @pytest.mark.parametrize('nodes', [200, 14_000])
    def test_the_fleet_reads_no_more_often_when_it_is_larger(self, nodes):
        rng = seeded(seed=1)
        reads = sum(
            should_read_as_fallback(
                age_s=STALE_S + 1, elapsed_s=1, nodes=nodes, rng=rng
            )
            for _ in range(nodes * 10)
        )
        assert reads / 10 == pytest.approx(20, rel=0.3)

    def test_a_lone_node_reads_at_once(self):
        rng = seeded(seed=1)
        assert should_read_as_fallback(
            age_s=STALE_S + 1, elapsed_s=1, nodes=1, rng=rng
        )


class TestNearby:
    """Who hears of news at once."""

    def test_they_stand_in_the_own_region(self):
        known_peers = _known_peers(_fleet())
        rng = seeded(seed=1)
        for _ in range(50):
            chosen = known_peers.sample_nearby(rng)
            assert len({one.name for one in chosen}) == 4
            assert {one.place.region for one in chosen} == {'sierra'}

    def test_a_node_alone_tells_nobody(self):
        fleet = _fleet()[:1]
        assert not _known_peers(fleet).sample_nearby(seeded(seed=1))


class TestQuestions:
    """Who is asked."""

    def test_near_ones_more_often_but_far_ones_too(self):
        known_peers = _known_peers(_fleet())
        rng = seeded(seed=1)
        asked = [known_peers.next_peer(rng) for _ in range(2000)]
        regions = collections.Counter(one.place.region for one in asked)
        assert regions['sierra'] > 0.7 * len(asked)
        assert min(regions[region] for region in _REGIONS) > 50

    def test_a_node_alone_asks_nobody(self):
        fleet = _fleet()[:1]
        assert _known_peers(fleet).next_peer(seeded(seed=1)) is None
