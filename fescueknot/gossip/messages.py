"""Messages between replicas, each in one datagram.

Every message names its sender and so shows that the sender is alive.
"""

import msgspec

from fescueknot.decoding import Count, CountOrUnknown, Name, Revision
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS


class Digest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of the sender's replica.

    ``cursor`` and ``held`` are those of its document log, ``version`` is that
    of the routes in force at the sender. The sender has received all versions
    that were written to the store earlier than ``age_ms`` ago; -1 if it has
    no evidence.
    """

    cursor: Revision = 0
    held: Revision = 0
    version: Count = 0
    age_ms: CountOrUnknown = UNKNOWN_AGE_MS


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of all gossip messages."""

    name: Name
    digest: Digest


class SyncRequest(Message, frozen=True, kw_only=True, tag='q'):
    """Requests what the sender lacks; the reply carries the same ``nonce``."""

    nonce: Count
    rumours: tuple[Document, ...] = ()


class SyncReply(Message, frozen=True, kw_only=True, tag='a'):
    """What the requester lacks, as far as it fits into a datagram."""

    nonce: Count
    transfer: Transfer | None = None
    rumours: tuple[Document, ...] = ()


class Push(Message, frozen=True, kw_only=True, tag='p'):
    """Documents sent without a request."""

    transfer: Transfer | None = None
    rumours: tuple[Document, ...] = ()


AnyMessage = SyncRequest | SyncReply | Push
