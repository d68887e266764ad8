"""Identifiers that tell when they were made (UUID version 7, RFC 9562)."""

import random
import uuid

_MS_PER_S = 1_000
_TIME_SHIFT_BITS = 80
_RANDOM_BITS = 80
_VERSION = 0x7 << 76
_VERSION_MASK = 0xF << 76
_VARIANT = 0x2 << 62
_VARIANT_MASK = 0x3 << 62


def timed_id(wall_s: float, source: random.Random) -> str:
    """Return an identifier made at ``wall_s`` in Unix seconds."""
    number = int(wall_s * _MS_PER_S) << _TIME_SHIFT_BITS
    number |= source.getrandbits(_RANDOM_BITS)
    number = number & ~_VERSION_MASK | _VERSION
    number = number & ~_VARIANT_MASK | _VARIANT
    return str(uuid.UUID(int=number))
