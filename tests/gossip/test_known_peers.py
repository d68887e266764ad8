"""Tests the choice of gossip peers and of the readers of the store."""

import collections
import itertools

import pytest

from fescueknot.gossip.known_peers import GossipPeer, KnownPeers
from fescueknot.gossip.readers import readers_of
from fescueknot.identity import Address, Place
from fescueknot.randomness import seeded

_REGIONS = ('sierra', 'costa', 'austro')


def _make_peers(domains=3, hosts=20):
    coordinates = itertools.product(_REGIONS, range(domains), range(hosts))
    return tuple(
        GossipPeer(
            name=f'{region}-{domain}-{host}',
            place=Place(region=region, failure_domain=f'{region}-{domain}'),
            address=Address(host='10.0.0.1', port=1),
        )
        for region, domain, host in coordinates
    )


def _known_peers_of(peers, index=0):
    local = peers[index]
    known_peers = KnownPeers(name=local.name, place=local.place)
    known_peers.update(peers)
    return known_peers


def _reader_names(peers):
    return {
        peer.name
        for index, peer in enumerate(peers)
        if _known_peers_of(peers, index).is_reader()
    }


class TestReaders:
    """Selection of readers without an election."""

    def test_each_failure_domain_has_one_reader(self):
        peers = _make_peers()
        readers = _reader_names(peers)
        domains = collections.Counter(
            peer.place for peer in peers if peer.name in readers
        )
        assert set(domains.values()) == {1}
        assert len(domains) == 9

    def test_a_region_of_one_domain_has_two_readers(self):
        assert len(_reader_names(_make_peers(domains=1))) == 2 * len(_REGIONS)

    def test_an_unresponsive_reader_is_replaced(self):
        peers = _make_peers(domains=1, hosts=3)
        place = peers[0].place
        names = {place: [peer.name for peer in peers if peer.place == place]}
        first, second = readers_of(place, names, ())
        remaining = set(names[place]) - {first}
        assert set(readers_of(place, names, {first})) == remaining
        assert second in readers_of(place, names, {first})

    def test_unanswered_requests_replace_a_reader_until_its_next_message(self):
        peers = _make_peers(domains=3, hosts=4)
        index_by_name = {peer.name: index for index, peer in enumerate(peers)}
        reader = next(
            name for name in _reader_names(peers) if name.startswith('sierra-0')
        )
        domain_peers = [
            peer.name
            for peer in peers
            if peer.place == peers[index_by_name[reader]].place
            and peer.name != reader
        ]
        substitute = None
        rng = seeded(seed=1)
        for name in domain_peers:
            known_peers = _known_peers_of(peers, index_by_name[name])
            for _ in range(60):
                peer = known_peers.next_peer(rng)
                if peer.name != reader:
                    known_peers.record_alive(peer.name)
            substitute = name if known_peers.is_reader() else substitute
            known_peers.record_alive(reader)
            assert not known_peers.is_reader()
        assert substitute is not None

    def test_an_unlisted_node_is_no_reader(self):
        peers = _make_peers()
        known_peers = KnownPeers(name='new', place=peers[0].place)
        known_peers.update(peers)
        assert not known_peers.is_reader()


class TestInformedPeers:
    """Peers that are asked for evidence of the routes."""

    def test_the_first_attempt_goes_to_the_reader_of_the_domain(self):
        peers = _make_peers()
        readers = _reader_names(peers)
        index = next(
            index
            for index, peer in enumerate(peers)
            if peer.name not in readers
        )
        known_peers = _known_peers_of(peers, index)
        peer = known_peers.next_informed_peer(0, seeded(seed=1))
        assert peer.name in readers
        assert peer.place == peers[index].place

    @pytest.mark.parametrize(
        ('attempt', 'within_region'), [(1, True), (2, False), (9, False)]
    )
    def test_later_attempts_go_to_readers_farther_away(
        self, attempt, within_region
    ):
        peers = _make_peers()
        readers = _reader_names(peers)
        known_peers = _known_peers_of(peers)
        rng = seeded(seed=1)
        asked = []
        for _ in range(50):
            asked.append(known_peers.next_informed_peer(attempt, rng))
            known_peers.record_alive(asked[-1].name)
        assert {peer.name for peer in asked} <= readers
        assert peers[0].place not in {peer.place for peer in asked}
        regions = {peer.place.region for peer in asked}
        assert (regions == {peers[0].place.region}) is within_region

    def test_a_reader_without_fresh_evidence_is_replaced(self):
        peers = _make_peers(domains=3, hosts=4)
        reader = next(iter(_reader_names(peers)))
        place = next(peer.place for peer in peers if peer.name == reader)
        replaced = []
        for index, peer in enumerate(peers):
            known_peers = _known_peers_of(peers, index)
            known_peers.record_alive(reader, is_informed=False)
            if peer.place == place and peer.name != reader:
                replaced.append(known_peers.is_reader())
                known_peers.record_alive(reader, is_informed=True)
                assert not known_peers.is_reader()
        assert sum(replaced) == 1

    def test_a_large_domain_has_several_readers(self):
        peers = _make_peers(domains=2, hosts=121)
        place = peers[0].place
        names = {place: [peer.name for peer in peers if peer.place == place]}
        assert len(readers_of(place, names, ())) == 4

    def test_a_node_is_cut_off_until_any_node_is_heard(self):
        known_peers = _known_peers_of(_make_peers())
        rng = seeded(seed=1)
        assert not known_peers.is_cut_off()
        for attempt in range(3):
            known_peers.next_informed_peer(attempt, rng)
        assert known_peers.is_cut_off()
        known_peers.record_alive('anybody')
        assert not known_peers.is_cut_off()


class TestSampleNearby:
    """Peers to which new documents are pushed."""

    def test_sampled_peers_are_in_the_local_region(self):
        known_peers = _known_peers_of(_make_peers())
        rng = seeded(seed=1)
        for _ in range(50):
            chosen = known_peers.sample_nearby(rng)
            assert len({peer.name for peer in chosen}) == 4
            assert {peer.place.region for peer in chosen} == {'sierra'}

    def test_a_single_node_samples_no_peer(self):
        peers = _make_peers()[:1]
        assert not _known_peers_of(peers).sample_nearby(seeded(seed=1))


class TestNextPeer:
    """Peers to which requests are sent."""

    def test_near_peers_are_chosen_more_often_than_far_ones(self):
        known_peers = _known_peers_of(_make_peers())
        rng = seeded(seed=1)
        chosen = [known_peers.next_peer(rng) for _ in range(2000)]
        regions = collections.Counter(peer.place.region for peer in chosen)
        assert regions['sierra'] > 0.7 * len(chosen)
        assert min(regions[region] for region in _REGIONS) > 50

    def test_a_single_node_has_no_next_peer(self):
        peers = _make_peers()[:1]
        assert _known_peers_of(peers).next_peer(seeded(seed=1)) is None
