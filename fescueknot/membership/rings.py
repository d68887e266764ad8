"""Hash rings of names, to assign watchers without coordination.

Names are sorted by their hashes; a name's successors are the names that
follow it on the ring. Adding or removing a name changes only the successors
of its neighbours.
"""

import bisect
import zlib


def _position(name: str) -> tuple[int, str]:
    return (zlib.crc32(name.encode()), name)


class Ring:
    """Mutable set of names, sorted by their hashes."""

    def __init__(self) -> None:
        self._positions: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._positions)

    def __getitem__(self, index: int) -> str:
        """Return the name at position ``index``."""
        return self._positions[index][1]

    def add(self, name: str) -> None:
        """Add a name that is not on the ring."""
        bisect.insort(self._positions, _position(name))

    def remove(self, name: str) -> None:
        """Remove a name that is on the ring."""
        index = bisect.bisect_left(self._positions, _position(name))
        self._positions.pop(index)

    def names(self) -> tuple[str, ...]:
        """Return all names in ring order."""
        return tuple(name for _, name in self._positions)

    def successors(self, name: str, count: int) -> tuple[str, ...]:
        """Return up to ``count`` names that follow ``name``, cyclically."""
        start = bisect.bisect_right(self._positions, _position(name))
        following = self._positions[start : start + count]
        following += self._positions[: count - len(following)]
        successors = dict.fromkeys(
            following_name for _, following_name in following
        )
        successors.pop(name, None)
        return tuple(successors)
