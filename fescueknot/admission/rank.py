"""Ranks: the order in which requests are shed.

A rank is a number in [0, 4): the importance class plus a position in [0, 1)
inside the class. The highest rank is shed first. The position is a hash of the
root id, so that all hops of a root request apply the same order (as in DAGOR,
SoCC 2018).
"""

import zlib

from fescueknot.admission.messages import AdmissionLevel
from fescueknot.calls import Importance

BUCKETS_PER_CLASS = 1024
OPEN_RANK = float(len(Importance))
_OPEN_LEVEL = AdmissionLevel(
    importance=max(Importance), bucket=BUCKETS_PER_CLASS
)
_DISCOUNT_PER_HOP = 0.02
# Part of a class that requests from other failure domains share.
_FOREIGN_RANGE = 1 / 16
_HASH_RANGE = 1 << 32
_MAX_POSITION = 1 - 1 / BUCKETS_PER_CLASS / BUCKETS_PER_CLASS


def root_position(root_id: str) -> float:
    """Return the position of a root request inside its class, in [0, 1)."""
    return zlib.crc32(root_id.encode()) / _HASH_RANGE


def rank_of(
    importance: Importance, position: float, weight: float = 1
) -> float:
    """Return the rank; a ``weight`` above 1 raises the position."""
    return importance + min(position * weight, _MAX_POSITION)


def foreign_rank_of(rank: float) -> float:
    """Return the rank of a request from another failure domain.

    It stays in its class, behind nearly all requests of the own failure
    domain, so that a full domain does not shed these for the surplus of
    another.
    """
    importance = int(rank)
    return importance + 1 - (1 - rank + importance) * _FOREIGN_RANGE


def queue_rank_of(rank: float, depth: int) -> float:
    """Return the rank in the queue of a request at ``depth``.

    Each hop lowers the position by a small discount, as a request with more
    work invested is served first. The request stays in its class.
    """
    importance = int(rank)
    return importance + (rank - importance) / (1 + depth * _DISCOUNT_PER_HOP)


def level_of(rank: float) -> AdmissionLevel:
    """Return the admission level that corresponds to a rank."""
    if rank >= OPEN_RANK:
        return _OPEN_LEVEL
    importance = Importance(int(rank))
    bucket = int((rank - importance) * BUCKETS_PER_CLASS)
    return AdmissionLevel(importance=importance, bucket=bucket)


def rank_of_level(level: AdmissionLevel) -> float:
    """Return the rank that corresponds to an admission level."""
    return level.importance + level.bucket / BUCKETS_PER_CLASS
