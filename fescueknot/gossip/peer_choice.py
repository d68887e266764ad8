"""Choice of the peer for the next exchange.

Spatial gossip (Kempe, Kleinberg, Demers 2004) picks a peer at distance ``d``
in ``D`` dimensions with a probability proportional to ``d ** (-D * rho)``.
Places are nested groups (failure domain, region, fleet), so ``d ** D`` becomes
the number of nodes in the smallest group that contains both nodes.
"""

import abc
import bisect
import itertools
import random
from collections.abc import Mapping, Sequence

from fescueknot.identity import Place

RHO = 1.5
_MAX_DRAWS = 4


class PeerChoice(abc.ABC):
    """Picks the peer to gossip with."""

    def __init__(self, *, name: str, place: Place) -> None:
        self._name = name
        self._place = place

    def pick(
        self, names_by_place: Mapping[Place, Sequence[str]], rng: random.Random
    ) -> str | None:
        """Return the name of another node.

        ``names_by_place`` has the nodes of each place. Returns ``None`` if
        there is no other node, or if each of a few draws yields the local one.
        """
        groups = [group for group in names_by_place.items() if group[1]]
        weights = self._weights({place: len(names) for place, names in groups})
        cumulative_weights = list(itertools.accumulate(weights))
        if not cumulative_weights:
            return None
        for _ in range(_MAX_DRAWS):
            drawn = rng.random() * cumulative_weights[-1]
            _, names = groups[bisect.bisect_right(cumulative_weights, drawn)]
            name = names[int(rng.random() * len(names))]
            if name != self._name:
                return name
        return None

    @abc.abstractmethod
    def _weights(self, counts: dict[Place, int]) -> list[float]:
        """Return the weight of each place: the sum over its instances."""


class UniformChoice(PeerChoice):
    """All instances are equally likely."""

    def _weights(self, counts: dict[Place, int]) -> list[float]:
        return list(counts.values())


class SpatialChoice(PeerChoice):
    """Nearer instances are more likely."""

    def _weights(self, counts: dict[Place, int]) -> list[float]:
        total = sum(counts.values())
        in_region = sum(
            count
            for place, count in counts.items()
            if place.region == self._place.region
        )
        return [
            count * self._group_size(place, count, in_region, total) ** -RHO
            for place, count in counts.items()
        ]

    def _group_size(
        self, place: Place, count: int, in_region: int, total: int
    ) -> int:
        if place == self._place:
            return count
        return in_region if place.region == self._place.region else total
