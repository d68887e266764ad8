"""The announcements that one node stores.

A higher version replaces a lower one, never the reverse, in whatever order
they arrive.
"""

from collections.abc import Iterable

from fescueknot.identity import Place
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.indexes import CatalogIndex
from fescueknot.membership.rings import Ring

TOMBSTONE_TTL_S = 6 * 3600


class Catalog:
    """Latest announcement of each instance.

    Tombstones, the announcements of ended instances, expire after
    :data:`TOMBSTONE_TTL_S` by the wall clock. Expired ones are neither kept
    nor accepted: otherwise nodes would send them to each other forever.
    """

    def __init__(self) -> None:
        self._known: dict[str, Announcement] = {}
        self.index = CatalogIndex()

    def __len__(self) -> int:
        """Return the number of announcements, including tombstones."""
        return len(self._known)

    @property
    def root(self) -> int:
        """Return the digest of all announcements."""
        return self.index.tree.root

    @property
    def present_count(self) -> int:
        """Return the number of instances that are neither lost nor left."""
        return self.index.present_count

    @property
    def places(self) -> dict[Place, Ring]:
        """Return the names of the instances at each place."""
        return self.index.places

    def find(self, name: str) -> Announcement | None:
        """Return the announcement of ``name``, if there is one."""
        return self._known.get(name)

    def all_announcements(self) -> tuple[Announcement, ...]:
        """Return all announcements, including tombstones."""
        return tuple(self._known.values())

    def leaf(self, index: int) -> tuple[Announcement, ...]:
        """Return the announcements of one leaf of the digest tree."""
        return self.resolve(self.index.leaves.get(index, ()))

    def lost_since(self, *, wall_s: float) -> tuple[Announcement, ...]:
        """Return the instances declared lost after a wall clock time."""
        return tuple(
            ended
            for ended in self.resolve(self.index.ended)
            if ended.state is InstanceState.LOST and ended.stated_at_s > wall_s
        )

    def resolve(self, names: Iterable[str]) -> tuple[Announcement, ...]:
        """Return the announcements of ``names``, all of which are stored."""
        return tuple(self._known[name] for name in names)

    def merge(self, announcement: Announcement, *, wall_s: float) -> bool:
        """Store an announcement; return whether it was newer."""
        current = self._known.get(announcement.name)
        if current is not None and current.version >= announcement.version:
            return False
        if announcement.is_ended and _is_expired(announcement, wall_s):
            return False
        if current is not None:
            self.index.remove(current)
        self._known[announcement.name] = announcement
        self.index.add(announcement)
        return True

    def expire(self, *, wall_s: float) -> None:
        """Remove expired tombstones."""
        for ended in self.resolve(self.index.ended):
            if _is_expired(ended, wall_s):
                self.index.remove(ended)
                self._known.pop(ended.name)


def _is_expired(announcement: Announcement, wall_s: float) -> bool:
    return wall_s - announcement.stated_at_s > TOMBSTONE_TTL_S
