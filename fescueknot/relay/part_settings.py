"""Settings of a node's parts, from the settings of the node."""

import resource

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.connection_limits import ConnectionLimits
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
# Part of the memory of a node that connections of callers may take without
# their messages.
_CONNECTIONS_FRACTION = 0.2
# Objects, parser, and small messages, which the buffer budget always admits.
_BYTES_PER_CONNECTION = 40_000
_MIN_CONNECTIONS = 64
# That of the caller, and for its request one to a node and one to the target.
_DESCRIPTORS_PER_CONNECTION = 3


def buffer_budget(settings: RelaySettings) -> BufferBudget:
    """Return the bound on the messages that the node holds at a time."""
    buffers_mb = settings.memory_mb * _BUFFERS_FRACTION
    return BufferBudget(limit_bytes=int(buffers_mb * _BYTES_PER_MB))


def caller_limits(settings: RelaySettings) -> ConnectionLimits:
    """Return the limits on the connections of callers."""
    connections = settings.caller_connections
    if not connections:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        connections = _most_connections(settings.memory_mb, descriptors)
    return ConnectionLimits(
        connections=connections,
        receive_bytes=settings.caller_receive_bytes,
        send_bytes=settings.caller_send_bytes,
    )


def _most_connections(memory_mb: float, descriptors: int) -> int:
    memory_bytes = memory_mb * _CONNECTIONS_FRACTION * _BYTES_PER_MB
    by_memory = int(memory_bytes / _BYTES_PER_CONNECTION)
    by_descriptors = descriptors // _DESCRIPTORS_PER_CONNECTION
    return max(_MIN_CONNECTIONS, min(by_memory, by_descriptors))


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
