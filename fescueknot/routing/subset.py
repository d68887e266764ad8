"""Which candidates a node keeps connections to.

Each node takes the candidates with the highest hash of (node, candidate):
rendezvous hashing, so nodes agree with nobody and a change of candidates
moves few connections. Nearer tiers are filled in proportion, so that each
target is called by about the same number of nodes.
"""

import collections
import functools
import heapq
import importlib
import math

import msgspec

from fescueknot.identity import InstanceId, Place
from fescueknot.routing.messages import Candidate, Tier

_WEIGHT_BYTES = 8
_SPREAD_SIGMAS = 4


class SubsetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a subset.

    ``connections_per_target`` is what one node opens to one target.
    """

    max_size: int = 16
    connections_per_target: int = 1


class Viewpoint(msgspec.Struct, frozen=True, kw_only=True):
    """The node that chooses, and how many nodes call the service."""

    node: InstanceId
    place: Place
    callers: int = 1


def tier_of(viewpoint: Viewpoint, candidate: Candidate) -> Tier:
    """Return how far a candidate stands from the node."""
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

    Random subsets load targets unevenly: the mean number of callers of one
    target stays four standard deviations below what its limit allows.
    """
    allowed = connection_limit / settings.connections_per_target
    root = math.sqrt(allowed + _SPREAD_SIGMAS) - _SPREAD_SIGMAS / 2
    mean = max(root, 0) ** 2
    size = int(mean * candidates / max(1, callers))
    return max(1, min(size, candidates, settings.max_size))


def choose_subset(
    viewpoint: Viewpoint,
    candidates: tuple[Candidate, ...],
    settings: SubsetSettings,
) -> tuple[Candidate, ...]:
    """Return the candidates of the node, nearest tier first."""
    if not candidates:
        return ()
    tiers = _by_tier(viewpoint, candidates)
    limits = [candidate.connection_limit for candidate in candidates]
    left = subset_size(
        len(candidates), min(limits), viewpoint.callers, settings
    )
    share = left / len(candidates)
    chosen: list[Candidate] = []
    for tier in sorted(tiers):
        members = tiers[tier]
        wanted = min(left, math.ceil(len(members) * share))
        chosen.extend(_heaviest(viewpoint.node, members, wanted))
        left -= wanted
    return tuple(chosen)


def _by_tier(
    viewpoint: Viewpoint, candidates: tuple[Candidate, ...]
) -> dict[Tier, list[Candidate]]:
    tiers: dict[Tier, list[Candidate]] = collections.defaultdict(list)
    for candidate in candidates:
        tiers[tier_of(viewpoint, candidate)].append(candidate)
    return tiers


def _heaviest(
    node: InstanceId, members: list[Candidate], wanted: int
) -> list[Candidate]:
    if wanted >= len(members):
        return members
    return heapq.nlargest(
        wanted,
        members,
        key=lambda candidate: _weight(node, candidate.instance),
    )


def _weight(node: InstanceId, target: InstanceId) -> bytes:
    pair = f'{node.name}|{target.name}'.encode()
    return _hasher()(pair, digest_size=_WEIGHT_BYTES).digest()


@functools.cache
def _hasher():
    """Return the hash, loaded by those who choose: it brings OpenSSL along."""
    return importlib.import_module('hashlib').blake2b
