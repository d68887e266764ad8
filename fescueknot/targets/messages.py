"""What targets say of themselves, and what nodes say of targets."""

import enum

import msgspec

from fescueknot.identity import Address, Place


class TargetState(enum.StrEnum):
    """Whether a target takes new work."""

    SERVING = 'serving'
    DRAINING = 'draining'


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat of the target on this host.

    ``instance`` may be used again by a later start; ``started_ms`` (Unix
    milliseconds) tells starts apart and ``sequence`` orders the heartbeats of
    one start.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    slots: int
    state: TargetState = TargetState.SERVING
    warmup_left_s: float = 0


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A target and the node beside it, as kept in the object store.

    ``node`` takes calls, ``gossip_port`` of the same host takes datagrams; 0
    for a node that doesn't gossip.
    """

    instance: str
    started_ms: int
    service: str
    place: Place
    node: Address
    slots: int
    state: TargetState = TargetState.SERVING
    gossip_port: int = 0
