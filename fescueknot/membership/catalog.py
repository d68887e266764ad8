"""The announcements that one node knows.

A higher version replaces a lower one and never the other way round, whatever
the order in which they arrive.
"""

from collections.abc import Iterable

from fescueknot.identity import Place
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.indexes import CatalogIndex
from fescueknot.membership.rings import Ring

TOMBSTONE_TTL_S = 6 * 3600


class Catalog:
    """Latest announcement of each instance.

    Announcements that ended more than :data:`TOMBSTONE_TTL_S` ago by the wall
    clock are neither kept nor taken in, or else nodes would hand them to each
    other for ever.
    """

    def __init__(self) -> None:
        self._known: dict[str, Announcement] = {}
        self.index = CatalogIndex()

    def __len__(self) -> int:
        """Return the number of announcements, with those that ended."""
        return len(self._known)

    @property
    def root(self) -> int:
        """Return the digest of all announcements."""
        return self.index.tree.root

    @property
    def present_count(self) -> int:
        """Return the number of instances that are not gone."""
        return self.index.present_count

    @property
    def places(self) -> dict[Place, Ring]:
        """Return the names of the instances at each place."""
        return self.index.places

    def find(self, name: str) -> Announcement | None:
        """Return what is known about ``name``."""
        return self._known.get(name)

    def all_announcements(self) -> tuple[Announcement, ...]:
        """Return all announcements, with those that ended."""
        return tuple(self._known.values())

    def leaf(self, index: int) -> tuple[Announcement, ...]:
        """Return the announcements of one leaf of the digest tree."""
        return self.resolve(self.index.leaves.get(index, ()))

    def lost_since(self, *, wall_s: float) -> tuple[Announcement, ...]:
        """Return the instances declared lost after a wall clock time."""
        return tuple(
            gone
            for gone in self.resolve(self.index.ended)
            if gone.state is InstanceState.LOST and gone.stated_at_s > wall_s
        )

    def resolve(self, names: Iterable[str]) -> tuple[Announcement, ...]:
        """Return the announcements of names that are known."""
        return tuple(self._known[name] for name in names)

    def merge(self, news: Announcement, *, wall_s: float) -> bool:
        """Take an announcement in; return whether it was news."""
        present = self._known.get(news.name)
        if present is not None and present.version >= news.version:
            return False
        if news.is_ended and _is_expired(news, wall_s):
            return False
        if present is not None:
            self.index.remove(present)
        self._known[news.name] = news
        self.index.add(news)
        return True

    def expire(self, *, wall_s: float) -> None:
        """Drop announcements that ended long ago."""
        for gone in self.resolve(self.index.ended):
            if _is_expired(gone, wall_s):
                self.index.remove(gone)
                self._known.pop(gone.name)


def _is_expired(announcement: Announcement, wall_s: float) -> bool:
    return wall_s - announcement.stated_at_s > TOMBSTONE_TTL_S
