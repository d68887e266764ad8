"""Heartbeats of targets, and the entries that nodes write about them."""

import enum

import msgspec

from fescueknot.decoding import Count, Name, PortOrNone
from fescueknot.identity import Address, Place


class TargetState(enum.StrEnum):
    """Whether a target accepts new work."""

    SERVING = 'serving'
    DRAINING = 'draining'


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat of the target on the local host.

    A later start may reuse ``instance``; ``started_ms`` (Unix milliseconds)
    distinguishes the starts, and ``sequence`` orders the heartbeats of one
    start.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    slots: int
    state: TargetState = TargetState.SERVING
    warmup_left_s: float = 0


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A target and the node on its host, as written to the object store.

    ``node`` is the address at which the node accepts calls, ``gossip_port`` of
    the same host its port for datagrams; 0 for a node that doesn't gossip.
    """

    instance: Name
    started_ms: Count
    service: Name
    place: Place
    node: Address
    slots: Count
    state: TargetState = TargetState.SERVING
    gossip_port: PortOrNone = 0
