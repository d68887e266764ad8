"""Selection of the nodes that read the store, without an election.

Nodes are ranked by a hash of their names. The first nodes of a failure domain
read for it, one for every 40 nodes, and a region has two readers even if it is
a single failure domain. Nodes that know different sets of nodes may pick
different readers: additional readers cost a few reads and do no harm.
"""

import heapq
import math
import zlib
from collections.abc import Container, Mapping, Sequence

from fescueknot.identity import Place

_READERS_PER_REGION = 2
_SALT = b'reader/'
# Nodes that ask one reader for evidence.
_NODES_PER_READER = 40


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
    members = len(names_by_place.get(place, ()))
    count = max(
        math.ceil(members / _NODES_PER_READER),
        _READERS_PER_REGION + 1 - max(1, domains),
    )
    responsive = (
        name
        for name in names_by_place.get(place, ())
        if name not in unresponsive
    )
    return tuple(heapq.nsmallest(count, responsive, key=reader_rank))
