"""The nodes that a node gossips with."""

import collections
import random

import msgspec

from fescueknot.gossip.peer_choice import SpatialChoice
from fescueknot.gossip.readers import readers_of
from fescueknot.identity import Address, Place

# Questions in a row without an answer that make a node silent.
_SILENT_AFTER = 2
# Nodes that hear of news from one that has just heard of it: in the own
# failure domain, and elsewhere in the region.
_FANOUT_DOMAIN = 3
_FANOUT_REGION = 1
# Questions to one reader in a second, whatever the size of its domain.
_QUESTIONS_PER_READER = 8


class GossipPeer(msgspec.Struct, frozen=True, kw_only=True):
    """A node and where it takes datagrams."""

    name: str
    place: Place
    address: Address


class KnownPeers:
    """Who is asked next, who hears of news, who reads the store."""

    def __init__(self, *, name: str, place: Place) -> None:
        self._name = name
        self._place = place
        self._choice = SpatialChoice(name=name, place=place)
        self._by_name: dict[str, GossipPeer] = {}
        self._names_by_place: dict[Place, list[str]] = {}
        self._unanswered: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of nodes, this one included once it is listed."""
        return len(self._by_name)

    def update(self, known_peers: tuple[GossipPeer, ...]) -> None:
        """Take the nodes known now."""
        self._by_name = {partner.name: partner for partner in known_peers}
        by_place: dict[Place, list[str]] = collections.defaultdict(list)
        for partner in known_peers:
            by_place[partner.place].append(partner.name)
        self._names_by_place = dict(by_place)
        for name in tuple(self._unanswered):
            if name not in self._by_name:
                self._unanswered.pop(name)

    def next_peer(self, rng: random.Random) -> GossipPeer | None:
        """Return whom to ask, and count the question.

        Near ones are asked more often; the readers of the own failure domain
        often enough to notice that they are gone.
        """
        name = self._next_name(rng)
        partner = self._by_name.get(name) if name else None
        if partner is not None:
            self._unanswered[partner.name] += 1
        return partner

    def record_alive(self, name: str) -> None:
        """Take note of a sign of life."""
        self._unanswered.pop(name, None)

    def sample_nearby(self, rng: random.Random) -> tuple[GossipPeer, ...]:
        """Return some nodes of the own region that hear of news at once."""
        here = self._names_by_place.get(self._place, ())
        domain = [name for name in here if name != self._name]
        region = [
            name
            for place, members in self._names_by_place.items()
            if place.region == self._place.region and place != self._place
            for name in members
        ]
        chosen = _sampled(domain, _FANOUT_DOMAIN, rng)
        # Where the own failure domain is small, others make up for it.
        missing = _FANOUT_DOMAIN - len(chosen)
        chosen += _sampled(region, _FANOUT_REGION + missing, rng)
        return tuple(self._by_name[name] for name in chosen)

    def has_others(self) -> bool:
        """Tell whether another node is known."""
        return any(name != self._name for name in self._by_name)

    def is_reader(self) -> bool:
        """Tell whether this node reads the store for its failure domain."""
        return self._name in self._readers()

    def _readers(self) -> tuple[str, ...]:
        silent = {
            name
            for name, count in self._unanswered.items()
            if count > _SILENT_AFTER
        }
        return readers_of(self._place, self._names_by_place, silent)

    def _next_name(self, rng: random.Random) -> str | None:
        readers = [name for name in self._readers() if name != self._name]
        members = len(self._names_by_place.get(self._place, ()))
        share = min(0.5, _QUESTIONS_PER_READER / max(1, members))
        if readers and rng.random() < share:
            return rng.choice(readers)
        return self._choice.pick(self._names_by_place, rng)


def _sampled(names: list[str], count: int, rng: random.Random) -> list[str]:
    return rng.sample(names, min(len(names), count))
