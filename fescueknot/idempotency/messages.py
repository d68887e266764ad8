"""Messages between the members of a service about leases and versions."""

import msgspec

from fescueknot.identity import InstanceId


class StoreEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """The store's newest version was ``version`` at ``at_s`` or later.

    ``at_s`` is on the receiver's monotonic clock: the time at which it sent
    the answered request, less the age that the answer stated.
    """

    version: int
    at_s: float


class PromiseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a member to stay on ``version`` for the length of a lease.

    ``sent_s`` is on the requester's monotonic clock and is returned with the
    answer.
    """

    requester: InstanceId
    version: int
    sent_s: float


class Promise(msgspec.Struct, frozen=True, kw_only=True):
    """Positive answer of a member that is on the same version."""

    promiser: InstanceId
    requester: InstanceId
    version: int
    sent_s: float


class Acknowledgement(msgspec.Struct, frozen=True, kw_only=True):
    """``instance`` is on ``version`` and promises for no older version."""

    instance: InstanceId
    version: int
