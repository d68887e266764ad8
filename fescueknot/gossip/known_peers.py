"""The nodes that a node may gossip with, and the choice among them."""

import collections
import random

import msgspec

from fescueknot.gossip.peer_choice import SpatialChoice
from fescueknot.gossip.readers import readers_of
from fescueknot.identity import Address, Place

# A node that left more requests in a row without an answer is unresponsive.
_MAX_UNANSWERED = 2
# Nodes to which a node pushes a document that is new to it: in the local
# failure domain, and elsewhere in the local region.
_FANOUT_DOMAIN = 3
_FANOUT_REGION = 1
# Requests to one reader in a second, whatever the size of its failure domain.
_REQUESTS_PER_READER_PER_S = 8


class GossipPeer(msgspec.Struct, frozen=True, kw_only=True):
    """A node and the address of its gossip port."""

    name: str
    place: Place
    address: Address


class KnownPeers:
    """Selects the peers of gossip and the readers of the store."""

    def __init__(self, *, name: str, place: Place) -> None:
        self._name = name
        self._place = place
        self._choice = SpatialChoice(name=name, place=place)
        self._by_name: dict[str, GossipPeer] = {}
        self._names_by_place: dict[Place, list[str]] = {}
        self._unanswered: collections.Counter[str] = collections.Counter()
        self._unanswered_by_all = 0
        self._uninformed: set[str] = set()

    def __len__(self) -> int:
        """Return the number of nodes, with the local one once it is listed."""
        return len(self._by_name)

    def update(self, peers: tuple[GossipPeer, ...]) -> None:
        """Replace the known nodes."""
        self._by_name = {peer.name: peer for peer in peers}
        by_place: dict[Place, list[str]] = collections.defaultdict(list)
        for peer in peers:
            by_place[peer.place].append(peer.name)
        self._names_by_place = dict(by_place)
        for name in self._unanswered.keys() - self._by_name.keys():
            self._unanswered.pop(name)
        self._uninformed &= self._by_name.keys()

    def next_peer(self, rng: random.Random) -> GossipPeer | None:
        """Return the peer for the next request, and count that request.

        Near peers are chosen more often. The readers of the local failure
        domain are chosen often enough to notice soon that one is unreachable.
        """
        return self._counted(self._next_peer_name(rng))

    def next_informed_peer(
        self, attempt: int, rng: random.Random
    ) -> GossipPeer | None:
        """Return a peer that is likely to have fresh evidence of the routes.

        Its request is counted too. The first ``attempt``, 0, goes to a reader
        of the local failure domain, the next ones farther away.
        """
        places = [self._place]
        if attempt:
            places = self._other_places(within_region=attempt == 1)
        readers = [
            name
            for place in places
            for name in self._readers(place)
            if name != self._name
        ]
        if readers:
            return self._counted(rng.choice(readers))
        return self._counted(self._choice.pick(self._names_by_place, rng))

    def record_alive(self, name: str, *, is_informed: bool = True) -> None:
        """Record that a message from a node has arrived.

        A node is informed if its evidence of the routes is fresh. One that
        isn't can't read the store, so others read in its place.
        """
        self._unanswered.pop(name, None)
        self._unanswered_by_all = 0
        if is_informed:
            self._uninformed.discard(name)
        else:
            self._uninformed.add(name)

    def sample_nearby(self, rng: random.Random) -> tuple[GossipPeer, ...]:
        """Return random nodes of the local region to push new documents to."""
        domain_names = self._names_by_place.get(self._place, ())
        domain_peers = [name for name in domain_names if name != self._name]
        region_peers = [
            name
            for place, members in self._names_by_place.items()
            if place.region == self._place.region and place != self._place
            for name in members
        ]
        chosen = _sample(domain_peers, _FANOUT_DOMAIN, rng)
        # If the local failure domain is too small, more nodes of the other
        # failure domains are chosen.
        missing = _FANOUT_DOMAIN - len(chosen)
        chosen += _sample(region_peers, _FANOUT_REGION + missing, rng)
        return tuple(self._by_name[name] for name in chosen)

    def has_others(self) -> bool:
        """Return whether a node besides the local one is known."""
        return any(name != self._name for name in self._by_name)

    def is_cut_off(self) -> bool:
        """Return whether no node has answered any of the last requests."""
        return self._unanswered_by_all > _MAX_UNANSWERED

    def is_reader(self) -> bool:
        """Return whether the local node reads for its failure domain."""
        return self._name in self._readers(self._place)

    def _counted(self, name: str | None) -> GossipPeer | None:
        """Return a peer, and count a request to it as not yet answered."""
        peer = self._by_name.get(name) if name else None
        if peer is not None:
            self._unanswered[peer.name] += 1
            self._unanswered_by_all += 1
        return peer

    def _other_places(self, *, within_region: bool) -> list[Place]:
        return [
            place
            for place in self._names_by_place
            if place != self._place
            and (place.region == self._place.region or not within_region)
        ]

    def _readers(self, place: Place) -> tuple[str, ...]:
        unresponsive = {
            name
            for name, count in self._unanswered.items()
            if count > _MAX_UNANSWERED
        }
        return readers_of(
            place, self._names_by_place, unresponsive | self._uninformed
        )

    def _next_peer_name(self, rng: random.Random) -> str | None:
        readers = [
            name for name in self._readers(self._place) if name != self._name
        ]
        members = len(self._names_by_place.get(self._place, ()))
        reader_probability = min(
            0.5, _REQUESTS_PER_READER_PER_S / max(1, members)
        )
        if readers and rng.random() < reader_probability:
            return rng.choice(readers)
        return self._choice.pick(self._names_by_place, rng)


def _sample(names: list[str], count: int, rng: random.Random) -> list[str]:
    return rng.sample(names, min(len(names), count))
