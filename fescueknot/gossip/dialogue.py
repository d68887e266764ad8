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
from fescueknot.gossip.questions import Questions
from fescueknot.gossip.replica import Replica

_Replies = tuple[wire.AnyMessage, ...]


class Dialogue:
    """Builds and handles the gossip messages of one node."""

    def __init__(self, *, name: str, replica: Replica) -> None:
        self._name = name
        self._replica = replica
        self._questions = Questions()
        self._handlers = types.MappingProxyType(
            {
                wire.Question: self._reply_to_request,
                wire.Answer: self._on_reply,
                wire.Push: self._on_push,
            }
        )

    def ask(self, *, now_s: float, rng: random.Random) -> wire.Question:
        """Return a request for the documents that the replica lacks."""
        return wire.Question(
            name=self._name,
            digest=self._replica.digest(now_s),
            nonce=self._questions.ask(now_s=now_s, rng=rng),
            rumours=self._replica.beyond_cursor(),
        )

    def news(self, now_s: float) -> wire.Push:
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
        self, message: wire.Question, now_s: float, rng: random.Random
    ) -> _Replies:
        reply = wire.Answer(
            name=self._name,
            digest=self._replica.digest(now_s),
            nonce=message.nonce,
            transfer=self._replica.missing_at(message.digest),
            rumours=self._replica.beyond_cursor(),
        )
        return (reply,)

    def _on_reply(
        self, message: wire.Answer, now_s: float, rng: random.Random
    ) -> _Replies:
        self._replica.take(message.transfer, message.name, now_s)
        asked_at_s = self._questions.answered(message.nonce)
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
            return (self.ask(now_s=now_s, rng=rng),)
        return ()

    def _on_push(
        self, message: wire.Push, now_s: float, rng: random.Random
    ) -> _Replies:
        self._replica.take(message.transfer, message.name, now_s)
        return ()


def _is_truncated(transfer: Transfer | None) -> bool:
    if transfer is None:
        return False
    return transfer.upto < transfer.goal and bool(transfer.documents)
