"""How two replicas bring each other up to date.

A question tells what its sender holds, the answer brings what is missing
there, and what the answerer lacks is pushed back. Decisions only; a task
sends and receives.
"""

import random
import types

from fescueknot.gossip import messages as wire
from fescueknot.gossip.documents import Transfer
from fescueknot.gossip.outstanding_requests import OutstandingRequests
from fescueknot.gossip.replica import Replica

_Answers = tuple[wire.AnyMessage, ...]


class GossipProtocol:
    """What one node says to others for its replica."""

    def __init__(self, *, name: str, replica: Replica) -> None:
        self._name = name
        self._replica = replica
        self._outstanding = OutstandingRequests()
        self._handlers = types.MappingProxyType(
            {
                wire.SyncRequest: self._answer,
                wire.SyncReply: self._take_answer,
                wire.Push: self._take_push,
            }
        )

    def sync_request(
        self, *, now_s: float, rng: random.Random
    ) -> wire.SyncRequest:
        """Return a question to a peer."""
        return wire.SyncRequest(
            name=self._name,
            digest=self._replica.digest(now_s),
            nonce=self._outstanding.register(now_s=now_s, rng=rng),
            rumours=self._replica.rumours(),
        )

    def rumour_push(self, now_s: float) -> wire.Push:
        """Return what others nearby are to hear at once."""
        return wire.Push(
            name=self._name,
            digest=self._replica.digest(now_s),
            rumours=self._replica.take_hot(),
        )

    def receive(
        self, message: wire.AnyMessage, *, now_s: float, rng: random.Random
    ) -> _Answers:
        """Take a message in; return what its sender is to get."""
        self._replica.hear(message.rumours)
        return self._handlers[type(message)](message, now_s, rng)

    def _answer(
        self, message: wire.SyncRequest, now_s: float, rng: random.Random
    ) -> _Answers:
        answer = wire.SyncReply(
            name=self._name,
            digest=self._replica.digest(now_s),
            nonce=message.nonce,
            transfer=self._replica.lacking(message.digest),
            rumours=self._replica.rumours(),
        )
        return (answer,)

    def _take_answer(
        self, message: wire.SyncReply, now_s: float, rng: random.Random
    ) -> _Answers:
        self._replica.apply_transfer(message.transfer, message.name, now_s)
        asked_at_s = self._outstanding.complete(message.nonce)
        if asked_at_s is not None:
            self._replica.relay(message.digest, asked_at_s=asked_at_s)
        transfer = self._replica.lacking(message.digest)
        if transfer is not None:
            push = wire.Push(
                name=self._name,
                digest=self._replica.digest(now_s),
                transfer=transfer,
            )
            return (push,)
        if _is_cut_short(message.transfer):
            return (self.sync_request(now_s=now_s, rng=rng),)
        return ()

    def _take_push(
        self, message: wire.Push, now_s: float, rng: random.Random
    ) -> _Answers:
        self._replica.apply_transfer(message.transfer, message.name, now_s)
        return ()


def _is_cut_short(transfer: Transfer | None) -> bool:
    if transfer is None:
        return False
    return transfer.upto < transfer.goal and bool(transfer.documents)
