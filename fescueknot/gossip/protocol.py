"""Gossip protocol: anti-entropy and rumour mongering between replicas.

In a round of anti-entropy a node sends a request with the digest of its
replica. The reply brings the documents that the requester lacks, and the
requester pushes back the documents that the replier lacks. New documents are
also pushed at once, without a request.

This module does no I/O: a task sends the messages and passes in those that
arrive.
"""

import random
import types

from fescueknot.gossip import messages as wire
from fescueknot.gossip.documents import Transfer
from fescueknot.gossip.outstanding_requests import OutstandingRequests
from fescueknot.gossip.replica import Replica

_Replies = tuple[wire.AnyMessage, ...]


class GossipProtocol:
    """Builds and handles the gossip messages of one node."""

    def __init__(self, *, name: str, replica: Replica) -> None:
        self._name = name
        self._replica = replica
        self._outstanding = OutstandingRequests()
        self._handlers = types.MappingProxyType(
            {
                wire.SyncRequest: self._reply_to_request,
                wire.SyncReply: self._on_reply,
                wire.Push: self._on_push,
            }
        )

    def sync_request(
        self, *, now_s: float, rng: random.Random
    ) -> wire.SyncRequest:
        """Return a request for the documents that the replica lacks."""
        return wire.SyncRequest(
            name=self._name,
            digest=self._replica.digest(now_s),
            nonce=self._outstanding.register(now_s=now_s, rng=rng),
            rumours=self._replica.beyond_cursor(),
        )

    def rumour_push(self, now_s: float) -> wire.Push:
        """Return a push with the documents to be spread at once."""
        return wire.Push(
            name=self._name,
            digest=self._replica.digest(now_s),
            rumours=self._replica.pop_rumours(),
        )

    def receive(
        self, message: wire.AnyMessage, *, now_s: float, rng: random.Random
    ) -> _Replies:
        """Handle a message; return the messages for its sender."""
        self._replica.receive_rumours(message.rumours)
        return self._handlers[type(message)](message, now_s, rng)

    def _reply_to_request(
        self, message: wire.SyncRequest, now_s: float, rng: random.Random
    ) -> _Replies:
        reply = wire.SyncReply(
            name=self._name,
            digest=self._replica.digest(now_s),
            nonce=message.nonce,
            transfer=self._replica.missing_at(message.digest),
            rumours=self._replica.beyond_cursor(),
        )
        return (reply,)

    def _on_reply(
        self, message: wire.SyncReply, now_s: float, rng: random.Random
    ) -> _Replies:
        self._replica.apply_transfer(message.transfer, message.name, now_s)
        asked_at_s = self._outstanding.complete(message.nonce)
        if asked_at_s is not None:
            self._replica.relay_evidence(message.digest, asked_at_s=asked_at_s)
        transfer = self._replica.missing_at(message.digest)
        if transfer is not None:
            push = wire.Push(
                name=self._name,
                digest=self._replica.digest(now_s),
                transfer=transfer,
            )
            return (push,)
        if _is_truncated(message.transfer):
            return (self.sync_request(now_s=now_s, rng=rng),)
        return ()

    def _on_push(
        self, message: wire.Push, now_s: float, rng: random.Random
    ) -> _Replies:
        self._replica.apply_transfer(message.transfer, message.name, now_s)
        return ()


def _is_truncated(transfer: Transfer | None) -> bool:
    if transfer is None:
        return False
    return transfer.upto < transfer.goal and bool(transfer.documents)
