"""Guard against removing many instances of a failure domain at once."""

from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.catalog import Catalog

WINDOW_S = 60
MINIMUM_COUNT = 3
SHARE = 0.1


class EvictionGuard:
    """Counts suspected and lately lost instances of a failure domain.

    Beyond :data:`SHARE` of the domain, and :data:`MINIMUM_COUNT`, no further
    ones are declared: the domain may be cut off, and callers that can't reach
    an instance find out by themselves.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog

    def allows(self, target: Announcement, *, wall_s: float) -> bool:
        """Return whether ``target`` may be suspected or declared lost."""
        ring = self._catalog.places.get(target.place)
        names = ring.names() if ring else ()
        members = (self._catalog.find(name) for name in names)
        suspected = sum(
            member.state is InstanceState.SUSPECT
            for member in members
            if member.name != target.name
        )
        lost = sum(
            gone.place == target.place
            for gone in self._catalog.lost_since(wall_s=wall_s - WINDOW_S)
        )
        limit = max(MINIMUM_COUNT, int(SHARE * (len(names) + lost)))
        return suspected + lost < limit
