"""Announcements of instances: identity, addresses and state.

Versions of an announcement are totally ordered by incarnation, sequence and
state, so that all nodes keep the same version in whatever order they receive
them.
"""

import enum
import sys
import types

import msgspec

from fescueknot.identity import Address, InstanceId, Place


class InstanceState(enum.StrEnum):
    """State of an instance as announced.

    An instance announces ``serving``, ``draining`` and ``left`` itself.
    ``suspect`` and ``lost`` are announced by other nodes; the instance refutes
    them with a higher sequence.
    """

    SERVING = 'serving'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    LOST = 'lost'
    LEFT = 'left'


_STATE_ORDER = types.MappingProxyType(
    {state: rank for rank, state in enumerate(InstanceState)}
)
_INTERNED_FIELDS = ('service', 'region', 'failure_domain')
ENDED_STATES = frozenset((InstanceState.LOST, InstanceState.LEFT))
WORKING_STATES = frozenset((InstanceState.SERVING, InstanceState.DRAINING))


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """One version of the announcement of an instance.

    ``stated_at_s`` is the wall-clock time, in whole seconds, at which
    ``state`` was announced; ``slots`` is the number of requests that the
    target handles concurrently. All ports belong to ``host``.
    """

    name: str
    incarnation: int
    sequence: int
    state: InstanceState
    service: str
    region: str
    failure_domain: str
    host: str
    entry_port: int
    peer_port: int
    ops_port: int
    gossip_port: int
    slots: int = 1
    stated_at_s: int = 0

    def __post_init__(self) -> None:
        """Intern the strings that many announcements have in common."""
        for field in _INTERNED_FIELDS:
            interned = sys.intern(getattr(self, field))
            msgspec.structs.force_setattr(self, field, interned)

    @property
    def instance(self) -> InstanceId:
        """Return the identity of the instance."""
        return InstanceId(name=self.name, incarnation=self.incarnation)

    @property
    def place(self) -> Place:
        """Return the region and failure domain of the instance."""
        return Place(region=self.region, failure_domain=self.failure_domain)

    @property
    def entry(self) -> Address:
        """Return the entry address, for calls of targets and clients."""
        return Address(host=self.host, port=self.entry_port)

    @property
    def peer(self) -> Address:
        """Return the peer address, for calls of other nodes."""
        return Address(host=self.host, port=self.peer_port)

    @property
    def ops(self) -> Address:
        """Return the ops address, for operators."""
        return Address(host=self.host, port=self.ops_port)

    @property
    def gossip(self) -> Address:
        """Return the UDP address for gossip."""
        return Address(host=self.host, port=self.gossip_port)

    @property
    def version(self) -> tuple[int, int, int]:
        """Return the sort key of versions of an announcement."""
        return (self.incarnation, self.sequence, _STATE_ORDER[self.state])

    @property
    def is_ended(self) -> bool:
        """Return whether the instance was declared lost or has left."""
        return self.state in ENDED_STATES

    @property
    def is_working(self) -> bool:
        """Return whether the instance is serving or draining."""
        return self.state in WORKING_STATES

    def with_state(
        self,
        *,
        state: InstanceState,
        wall_s: float,
        sequence: int | None = None,
    ) -> 'Announcement':
        """Return a copy of this announcement in another state."""
        return msgspec.structs.replace(
            self,
            state=state,
            stated_at_s=int(wall_s),
            sequence=self.sequence if sequence is None else sequence,
        )
