"""Indexes over the announcements of a catalog."""

import collections

from fescueknot.identity import Place
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.digests import DigestTree, leaf_of
from fescueknot.membership.rings import Ring


class CatalogIndex:
    """Instance names by service, place and leaf of the digest tree.

    ``services`` and ``places`` hold only instances that have not ended;
    ``ended`` holds the lost instances and those that have left.
    """

    def __init__(self) -> None:
        self.tree = DigestTree()
        self.leaves: dict[int, set[str]] = collections.defaultdict(set)
        self.services: dict[str, Ring] = collections.defaultdict(Ring)
        self.places: dict[Place, Ring] = collections.defaultdict(Ring)
        self.ended: set[str] = set()
        self.present_count = 0

    def add(self, announcement: Announcement) -> None:
        """Add an announcement that is not indexed."""
        name = announcement.name
        self.leaves[leaf_of(name)].add(name)
        self.tree.toggle(announcement)
        if announcement.is_ended:
            self.ended.add(name)
            return
        self.services[announcement.service].add(name)
        self.places[announcement.place].add(name)
        self.present_count += 1

    def remove(self, announcement: Announcement) -> None:
        """Remove an announcement that is indexed."""
        name = announcement.name
        self.leaves[leaf_of(name)].discard(name)
        self.tree.toggle(announcement)
        if announcement.is_ended:
            self.ended.discard(name)
            return
        self.services[announcement.service].remove(name)
        self.places[announcement.place].remove(name)
        self.present_count -= 1
