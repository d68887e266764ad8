"""Digest tree over announcements, to find where two catalogs differ.

Announcements are assigned to leaves by a hash of their name. The digest of a
leaf is the XOR of the digests of its announcements; the digest of an inner
node is the XOR of its children's. A change updates one node per level.
"""

import array
import hashlib
import zlib

from fescueknot.membership.announcements import Announcement

FANOUT = 16
DEPTH = 3
LEAF_COUNT = FANOUT**DEPTH
_DIGEST_BYTES = 4
_ARRAY_TYPE = 'L'
_ITEM_BYTES = array.array(_ARRAY_TYPE).itemsize


def leaf_of(name: str) -> int:
    """Return the index of the leaf with the announcement of ``name``."""
    return zlib.crc32(name.encode()) % LEAF_COUNT


def has_children(level: int, index: int) -> bool:
    """Return whether the tree has this node and it is not a leaf."""
    return 0 <= level < DEPTH and 0 <= index < FANOUT**level


def digest_of(announcement: Announcement) -> int:
    """Return a 32-bit digest of the name and version of an announcement."""
    incarnation, sequence, rank = announcement.version
    text = f'{announcement.name}/{incarnation}/{sequence}/{rank}'
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), 'big')


class DigestTree:
    """Digests of all announcements, updated incrementally.

    Level 0 is the root and level :data:`DEPTH` the leaves. The children of
    node ``index`` of a level are the :data:`FANOUT` nodes from
    ``index * FANOUT`` on of the next level.
    """

    def __init__(self) -> None:
        self._levels = tuple(map(_empty_level, range(DEPTH + 1)))

    @property
    def root(self) -> int:
        """Return the digest of all announcements."""
        return self._levels[0][0]

    def toggle(self, announcement: Announcement) -> None:
        """Add an announcement that is absent, or remove it when present."""
        digest = digest_of(announcement)
        index = leaf_of(announcement.name)
        for level in reversed(self._levels):
            level[index] ^= digest
            index //= FANOUT

    def children(self, level: int, index: int) -> tuple[int, ...]:
        """Return the digests of the children of a node."""
        start = index * FANOUT
        children = self._levels[level + 1]
        return tuple(children[start : start + FANOUT])


def _empty_level(level: int) -> array.array:
    return array.array(_ARRAY_TYPE, bytes(_ITEM_BYTES * FANOUT**level))
