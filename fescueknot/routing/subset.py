"""Subsetting: which candidates a node keeps connections to.

Each node chooses the candidates with the highest hash of (node, candidate).
This is rendezvous hashing: nodes need no coordination, and a change of the
candidates moves few connections. Each tier contributes in proportion to its
size, so that each target is called by about the same number of nodes.
"""

import collections
import heapq
import math

import msgspec

from fescueknot.hashing import blake2b
from fescueknot.identity import InstanceId, Place
from fescueknot.routing.messages import Candidate, Tier

_WEIGHT_BYTES = 8
_SPREAD_SIGMAS = 4


class SubsetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a subset.

    ``connections_per_target`` is the number of connections that one node
    opens to one target. Of the targets up to ``min_unlimited`` have announced
    no rate limit; if needed, as many join beyond ``max_size``.
    """

    max_size: int = 16
    connections_per_target: int = 1
    min_unlimited: int = 4


class Viewpoint(msgspec.Struct, frozen=True, kw_only=True):
    """The local node, and the number of nodes that call the service."""

    node: InstanceId
    place: Place
    callers: int = 1


def tier_of(viewpoint: Viewpoint, candidate: Candidate) -> Tier:
    """Return the tier of a candidate as seen from the node."""
    if candidate.instance.name == viewpoint.node.name:
        return Tier.LOCAL_HOST
    if candidate.place == viewpoint.place:
        return Tier.FAILURE_DOMAIN
    if candidate.place.region == viewpoint.place.region:
        return Tier.REGION
    return Tier.ELSEWHERE


def subset_size(
    candidates: int,
    connection_limit: int,
    callers: int,
    settings: SubsetSettings,
) -> int:
    """Return how many targets a node may call, at least 1.

    Random subsets load targets unevenly, so the mean number of nodes that call
    a target is kept four standard deviations below what its connection limit
    allows.
    """
    allowed = connection_limit / settings.connections_per_target
    sqrt_mean = math.sqrt(allowed + _SPREAD_SIGMAS) - _SPREAD_SIGMAS / 2
    mean = max(sqrt_mean, 0) ** 2
    size = int(mean * candidates / max(1, callers))
    return max(1, min(size, candidates, settings.max_size))


def choose_subset(
    viewpoint: Viewpoint,
    candidates: tuple[Candidate, ...],
    settings: SubsetSettings,
) -> tuple[Candidate, ...]:
    """Return the subset of the node, nearest tier first."""
    if not candidates:
        return ()
    tiers = _by_tier(viewpoint, candidates)
    limits = [candidate.connection_limit for candidate in candidates]
    remaining = subset_size(
        len(candidates), min(limits), viewpoint.callers, settings
    )
    fraction = remaining / len(candidates)
    chosen: list[Candidate] = []
    for tier in sorted(tiers):
        members = tiers[tier]
        count = min(remaining, math.ceil(len(members) * fraction))
        chosen.extend(_highest_weighted(viewpoint.node, members, count))
        remaining -= count
    wanted = min(settings.min_unlimited, len(chosen))
    missing = wanted - sum(not one.is_rate_limited for one in chosen)
    chosen.extend(_unlimited_outside(viewpoint, tiers, chosen, missing))
    return tuple(chosen)


def _unlimited_outside(
    viewpoint: Viewpoint,
    tiers: dict[Tier, list[Candidate]],
    chosen: list[Candidate],
    missing: int,
) -> list[Candidate]:
    """Return up to ``missing`` unlimited candidates, nearest tier first."""
    if missing <= 0:
        return []
    inside = {candidate.instance for candidate in chosen}
    joining: list[Candidate] = []
    for tier in sorted(tiers):
        outside = [
            candidate
            for candidate in tiers[tier]
            if not candidate.is_rate_limited
            and candidate.instance not in inside
        ]
        count = missing - len(joining)
        joining.extend(_highest_weighted(viewpoint.node, outside, count))
    return joining


def _by_tier(
    viewpoint: Viewpoint, candidates: tuple[Candidate, ...]
) -> dict[Tier, list[Candidate]]:
    tiers: dict[Tier, list[Candidate]] = collections.defaultdict(list)
    for candidate in candidates:
        tiers[tier_of(viewpoint, candidate)].append(candidate)
    return tiers


def _highest_weighted(
    node: InstanceId, members: list[Candidate], count: int
) -> list[Candidate]:
    if count >= len(members):
        return members
    return heapq.nlargest(
        count,
        members,
        key=lambda candidate: _weight(node, candidate.instance),
    )


def _weight(node: InstanceId, target: InstanceId) -> bytes:
    pair = f'{node.name}|{target.name}'.encode()
    return blake2b()(pair, digest_size=_WEIGHT_BYTES).digest()
