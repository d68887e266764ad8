"""Choice of the peer for the next exchange.

Spatial gossip (Kempe, Kleinberg, Demers 2004) picks a peer at distance ``d``
in ``D`` dimensions with probability ~ ``d ** (-D * rho)``. Places here are
nested groups, where ``d ** D`` becomes the number of nodes in the smallest
group that holds both.
"""

import abc
import bisect
import itertools
import random
from collections.abc import Mapping, Sequence

from fescueknot.identity import Place

RHO = 1.5
_TRIES = 4


class PeerChoice(abc.ABC):
    """Picks whom to gossip with."""

    def __init__(self, *, name: str, place: Place) -> None:
        self._name = name
        self._place = place

    def pick(
        self, places: Mapping[Place, Sequence[str]], rng: random.Random
    ) -> str | None:
        """Return the name of another one, or ``None`` when there is none.

        ``places`` are the names that stand at each place.
        """
        rings = [ring for ring in places.items() if ring[1]]
        weights = self._weights({place: len(ring) for place, ring in rings})
        bounds = list(itertools.accumulate(weights))
        if not bounds:
            return None
        for _ in range(_TRIES):
            drawn = rng.random() * bounds[-1]
            _, ring = rings[bisect.bisect_right(bounds, drawn)]
            name = ring[int(rng.random() * len(ring))]
            if name != self._name:
                return name
        return None

    @abc.abstractmethod
    def _weights(self, counts: dict[Place, int]) -> list[float]:
        """Return the weight of each place, all its instances together."""


class UniformChoice(PeerChoice):
    """All instances are equally likely."""

    def _weights(self, counts: dict[Place, int]) -> list[float]:
        return list(counts.values())


class SpatialChoice(PeerChoice):
    """Near instances are more likely."""

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
