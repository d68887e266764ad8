"""Messages between replicas, each in one datagram.

Every message names its sender, so that each one is a sign of life.
"""

import msgspec

from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS


class Digest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the sender holds.

    ``cursor`` and ``held`` are those of its document log, ``version`` is that
    of the routes in force. All versions written to the store earlier than
    ``age_ms`` ago are known to the sender; -1 if it can't tell.
    """

    cursor: int = 0
    held: int = 0
    version: int = 0
    age_ms: int = UNKNOWN_AGE_MS


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of all messages."""

    name: str
    digest: Digest


class SyncRequest(Message, frozen=True, kw_only=True, tag='q'):
    """Asks a peer for what the sender lacks; ``nonce`` marks the answer."""

    nonce: int
    rumours: tuple[Document, ...] = ()


class SyncReply(Message, frozen=True, kw_only=True, tag='a'):
    """What the asker lacks, as far as it fits."""

    nonce: int
    transfer: Transfer | None = None
    rumours: tuple[Document, ...] = ()


class Push(Message, frozen=True, kw_only=True, tag='p'):
    """News that nobody has asked for."""

    transfer: Transfer | None = None
    rumours: tuple[Document, ...] = ()


AnyMessage = SyncRequest | SyncReply | Push
