"""Order in which requests are shed.

A rank is a number in [0, 4): the importance class plus a position in [0, 1)
inside the class. The position is a hash of the root id, so all hops of one
request see the same order (the idea of DAGOR, SoCC 2018).
"""

import zlib

from fescueknot.admission.messages import AdmissionLevel
from fescueknot.calls import Importance

BUCKETS_PER_CLASS = 1024
OPEN_RANK = float(len(Importance))
_CLAIM_PER_HOP = 0.02
_HASH_SPAN = 1 << 32
_CLASS_END = 1 - 1 / BUCKETS_PER_CLASS / BUCKETS_PER_CLASS


def root_position(root_id: str) -> float:
    """Return the position of a root request in [0, 1)."""
    return zlib.crc32(root_id.encode()) / _HASH_SPAN


def rank_of(
    importance: Importance, position: float, weight: float = 1
) -> float:
    """Return the rank; a ``weight`` above 1 worsens the position."""
    return importance + min(position * weight, _CLASS_END)


def claim_of(rank: float, depth: int) -> float:
    """Return the rank in line of a request that has passed ``depth`` hops.

    Each hop lowers the position a little: invested work deepens the claim
    and never lifts a request out of its class.
    """
    importance = int(rank)
    return importance + (rank - importance) / (1 + depth * _CLAIM_PER_HOP)


def level_of(rank: float) -> AdmissionLevel:
    """Return the level that stands for a rank."""
    if rank >= OPEN_RANK:
        return AdmissionLevel(
            importance=max(Importance), bucket=BUCKETS_PER_CLASS
        )
    importance = Importance(int(rank))
    bucket = int((rank - importance) * BUCKETS_PER_CLASS)
    return AdmissionLevel(importance=importance, bucket=bucket)


def rank_of_level(level: AdmissionLevel) -> float:
    """Return the rank that a level stands for."""
    return level.importance + level.bucket / BUCKETS_PER_CLASS
