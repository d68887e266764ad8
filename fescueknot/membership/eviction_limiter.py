"""Limit on the number of instances evicted at once in a failure domain."""

from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.catalog import Catalog

WINDOW_S = 60
MIN_EVICTIONS = 3
MAX_DOMAIN_RATIO = 0.1


class EvictionLimiter:
    """Limits the suspect and recently lost instances of a failure domain.

    The limit is :data:`MAX_DOMAIN_RATIO` of the domain's instances, but at
    least :data:`MIN_EVICTIONS`. Beyond it no further instance is announced as
    suspect or lost: the whole domain may be cut off, and callers that can't
    reach an instance find out by themselves.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog

    def allows(self, target: Announcement, *, wall_s: float) -> bool:
        """Return whether ``target`` may be announced as suspect or lost."""
        ring = self._catalog.places.get(target.place)
        names = ring.names() if ring else ()
        instances = (self._catalog.find(name) for name in names)
        suspected = sum(
            instance.state is InstanceState.SUSPECT
            for instance in instances
            if instance.name != target.name
        )
        lost = sum(
            ended.place == target.place
            for ended in self._catalog.lost_since(wall_s=wall_s - WINDOW_S)
        )
        limit = max(MIN_EVICTIONS, int(MAX_DOMAIN_RATIO * (len(names) + lost)))
        return suspected + lost < limit
