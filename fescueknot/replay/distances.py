"""Time that a message takes from one host to another."""

from fescueknot.replay.host import Host

_WITHIN_REGION_S = 0.00025
_BETWEEN_REGIONS_S = 0.01


def way_s(origin: Host, target: Host) -> float:
    """Return the time of one way between two hosts."""
    if origin is target:
        return 0
    if origin.place.region == target.place.region:
        return _WITHIN_REGION_S
    return _BETWEEN_REGIONS_S
