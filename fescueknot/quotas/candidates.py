"""Which nodes of a region may own a shard of the quotas."""

import heapq
import zlib
from collections.abc import Iterable

import msgspec

from fescueknot.identity import Address

CANDIDATES_PER_SHARD = 3


class QuotaNode(msgspec.Struct, frozen=True, kw_only=True):
    """A node, its region and its port for datagrams."""

    name: str
    region: str
    address: Address


def shard_of(account: str, shards: int) -> int:
    """Return the shard that has an account's bucket."""
    return zlib.crc32(account.encode('utf-8', 'surrogatepass')) % shards


class QuotaNodes:
    """Nodes that can be owners, and the candidates of each shard."""

    def __init__(self) -> None:
        self._by_name: dict[str, QuotaNode] = {}
        self._by_region: dict[str, list[QuotaNode]] = {}
        self._candidates: dict[tuple[str, int], tuple[QuotaNode, ...]] = {}

    def update(self, nodes: Iterable[QuotaNode]) -> None:
        """Replace all nodes."""
        self._by_name = {node.name: node for node in nodes}
        self._by_region = {}
        self._candidates = {}
        for node in self._by_name.values():
            self._by_region.setdefault(node.region, []).append(node)

    def __bool__(self) -> bool:
        """Return whether any node is known."""
        return bool(self._by_name)

    def find(self, name: str) -> QuotaNode | None:
        """Return a node by its name."""
        return self._by_name.get(name)

    def candidates(self, region: str, shard: int) -> tuple[QuotaNode, ...]:
        """Return the nodes that rank first, the first one first."""
        found = self._candidates.get((region, shard))
        if found is None:
            found = tuple(
                heapq.nsmallest(
                    CANDIDATES_PER_SHARD,
                    self._by_region.get(region, ()),
                    key=lambda node: (_rank(node.name, shard), node.name),
                )
            )
            self._candidates[region, shard] = found
        return found


def _rank(name: str, shard: int) -> int:
    return zlib.crc32(f'{shard}/{name}'.encode('utf-8', 'surrogatepass'))
