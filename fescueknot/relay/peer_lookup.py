"""Finds peers in the directory of targets."""

from fescueknot.identity import Address, Place
from fescueknot.routing.messages import Tier
from fescueknot.targets.directory import TargetDirectory


class PeerLookup:
    """Addresses of other nodes, and how far away they are from this one."""

    def __init__(self, *, directory: TargetDirectory, place: Place) -> None:
        self._directory = directory
        self._place = place

    def address_of(self, name: str) -> Address | None:
        """Return the address of the node ``name``."""
        entry = self._directory.entry_of(name)
        return entry.node if entry else None

    def address_on(self, host: str) -> Address | None:
        """Return the address of a node on ``host``.

        The remote port of an incoming connection is not the peer port of the
        node that opened it, so the directory is searched for the host.
        """
        addresses = self._directory.addresses()
        return next((one for one in addresses if one.host == host), None)

    def tier_of(self, node: Address) -> Tier:
        """Return how far away a node is."""
        entry = self._directory.entry_at(node)
        if entry is None or entry.place.region != self._place.region:
            return Tier.ELSEWHERE
        same_domain = entry.place == self._place
        return Tier.FAILURE_DOMAIN if same_domain else Tier.REGION
