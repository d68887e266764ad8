"""Selection of the nodes that read the store, without an election.

Nodes are ranked by a hash of their names. The first node of a failure domain
reads for it, and a region has two readers even if it is a single failure
domain. Nodes that know different sets of nodes may pick different readers:
additional readers cost a few reads and do no harm.
"""

import heapq
import random
import zlib
from collections.abc import Container, Mapping, Sequence

from fescueknot.identity import Place

_READERS_PER_REGION = 2
_SALT = b'reader/'
# With older evidence the readers count as unreachable. The time covers a few of
# their watches and the seconds that gossip takes.
STALE_S = 20.0
# Reads of the whole fleet together while all readers are unreachable.
_FALLBACK_READS_PER_S = 20


def reader_rank(name: str) -> int:
    """Return the rank of a node; the nodes with the lowest ranks read."""
    return zlib.crc32(_SALT + name.encode())


def readers_of(
    place: Place,
    names_by_place: Mapping[Place, Sequence[str]],
    unresponsive: Container[str],
) -> tuple[str, ...]:
    """Return the readers of a failure domain.

    ``unresponsive`` are names of nodes that don't reply; they are skipped.
    """
    domains = sum(
        other_place.region == place.region for other_place in names_by_place
    )
    count = max(1, _READERS_PER_REGION + 1 - max(1, domains))
    responsive = (
        name
        for name in names_by_place.get(place, ())
        if name not in unresponsive
    )
    return tuple(heapq.nsmallest(count, responsive, key=reader_rank))


def should_read_as_fallback(
    *, age_s: float, elapsed_s: float, nodes: int, rng: random.Random
) -> bool:
    """Return whether a node that is no reader reads the store now.

    If the evidence is older than :data:`STALE_S`, every node reads at random,
    all ``nodes`` together :data:`_FALLBACK_READS_PER_S` times a second.
    ``elapsed_s`` is the time since this function was last called.
    """
    if age_s <= STALE_S:
        return False
    probability = _FALLBACK_READS_PER_S * elapsed_s / max(1, nodes)
    return rng.random() < probability
