"""Which nodes read the store, without an election.

Nodes rank by a hash of their names; the first of a failure domain reads for
it, and a region has two readers even if it is a single failure domain. Nodes
that know different fleets may pick different readers: extra ones cost a few
reads and do no harm.
"""

import heapq
import random
import zlib
from collections.abc import Container, Mapping, Sequence

from fescueknot.identity import Place

_READERS_PER_REGION = 2
_SALT = b'reader/'
# Evidence older than this says that the readers are lost: a few watches of
# theirs, and the seconds that gossip takes.
STALE_S = 20.0
# In the whole fleet, while all readers are lost.
_FALLBACK_READS_PER_S = 20


def reader_rank(name: str) -> int:
    """Return the rank of a node; the lowest ones read."""
    return zlib.crc32(_SALT + name.encode())


def readers_of(
    place: Place,
    names_by_place: Mapping[Place, Sequence[str]],
    silent: Container[str],
) -> tuple[str, ...]:
    """Return the readers of a failure domain.

    ``silent`` are names that don't answer; they are passed over.
    """
    domains = sum(one.region == place.region for one in names_by_place)
    count = max(1, _READERS_PER_REGION + 1 - max(1, domains))
    heard = (
        name for name in names_by_place.get(place, ()) if name not in silent
    )
    return tuple(heapq.nsmallest(count, heard, key=reader_rank))


def should_read_as_fallback(
    *, age_s: float, elapsed_s: float, nodes: int, rng: random.Random
) -> bool:
    """Tell whether a node reads though it is no reader.

    When nobody has brought evidence for :data:`STALE_S`, every node reads
    now and then. ``elapsed_s`` is the time since it was last asked.
    """
    if age_s <= STALE_S:
        return False
    chance = _FALLBACK_READS_PER_S * elapsed_s / max(1, nodes)
    return rng.random() < chance
