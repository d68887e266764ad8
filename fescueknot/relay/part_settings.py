"""Settings of a node's parts, from the settings of the node."""

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.identity import Address
from fescueknot.relay.settings import RelaySettings, parse_address
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.targets.local_target import LeavingBounds

# A leaving target accepts late arrivals for this fraction of its drain bound.
_LATE_ARRIVALS_FRACTION = 0.5
# Part of the memory of a node that messages may take; the rest is for what it
# knows of the fleet, for the runtime, and for one message while it is copied.
_BUFFERS_FRACTION = 0.4
_BYTES_PER_MB = 1_000_000


def buffer_budget(settings: RelaySettings) -> BufferBudget:
    """Return the bound on the messages that the node holds at a time."""
    buffers_mb = settings.memory_mb * _BUFFERS_FRACTION
    return BufferBudget(limit_bytes=int(buffers_mb * _BYTES_PER_MB))


def leaving_bounds(settings: RelaySettings) -> LeavingBounds:
    """Return the bounds of the leaving of the local target."""
    return LeavingBounds(
        accept_s=settings.bounds.drain_s * _LATE_ARRIVALS_FRACTION
    )


def gossip_address(settings: RelaySettings) -> Address:
    """Return the address for gossip; port 0 if the node does not gossip."""
    if settings.ports.gossip:
        return parse_address(settings.ports.gossip)
    return Address(host=parse_address(settings.ports.peers).host, port=0)


def retry_budget(settings: RelaySettings) -> SharedBudgetSettings:
    """Return the bounds on the retries of the fleet."""
    return SharedBudgetSettings(
        ratio=settings.bounds.retry_ratio,
        slack=settings.bounds.retry_slack,
    )
