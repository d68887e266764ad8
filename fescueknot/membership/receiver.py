"""Dispatch of received messages by type."""

import random
from collections.abc import Callable, Mapping

from fescueknot.membership import messages as wire
from fescueknot.membership.exchange import Exchanges
from fescueknot.membership.liveness import Liveness
from fescueknot.membership.repair import Repair
from fescueknot.membership.view import LocalView
from fescueknot.membership.witnesses import Witnesses

_Handler = Callable[
    [wire.Incoming, float, random.Random], tuple[wire.Outgoing, ...]
]


class Receiver:
    """Passes each message to the handler of its type."""

    def __init__(
        self,
        *,
        view: LocalView,
        exchanges: Exchanges,
        repair: Repair,
        liveness: Liveness,
        witnesses: Witnesses,
    ) -> None:
        self._view = view
        self._exchanges = exchanges
        self._repair = repair
        self._liveness = liveness
        self._witnesses = witnesses
        self._handlers: Mapping[type, _Handler] = {
            wire.Exchange: self._on_exchange,
            wire.ExchangeReply: self._on_reply,
            wire.Push: self._on_push,
            wire.TreeDigests: self._on_tree_digests,
            wire.LeafAnnouncements: self._on_leaf,
            wire.Notification: self._on_notification,
            wire.WitnessRequest: self._on_witness_request,
            wire.WitnessReport: self._on_witness_report,
            wire.Probe: self._on_probe,
            wire.ProbeReply: self._on_probe_reply,
        }

    def receive(
        self, incoming: wire.Incoming, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Apply a received message and return the replies."""
        message = incoming.message
        self._liveness.record_message(message.name, message.incarnation)
        reports = self._witnesses.record_message(
            message.name, message.incarnation, now_s=now_s
        )
        handler = self._handlers[type(message)]
        return reports + handler(incoming, now_s, rng)

    def _on_exchange(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        replies = self._exchanges.reply(incoming.message, now_s=now_s, rng=rng)
        return _replies_to(incoming, replies)

    def _on_reply(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        replies = self._exchanges.receive_reply(
            incoming.message, now_s=now_s, rng=rng
        )
        return _replies_to(incoming, replies)

    def _on_push(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        return _replies_to(
            incoming, self._exchanges.apply_push(incoming.message, now_s=now_s)
        )

    def _on_tree_digests(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        replies = self._repair.compare_digests(incoming.message, rng=rng)
        return _replies_to(incoming, replies)

    def _on_leaf(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        replies = self._repair.apply_leaf(incoming.message, now_s=now_s)
        return _replies_to(incoming, replies)

    def _on_notification(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        self._view.merge_all(incoming.message.news, now_s=now_s)
        return ()

    def _on_witness_request(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        return self._witnesses.accept(incoming, now_s=now_s)

    def _on_witness_report(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        self._liveness.record_report(incoming.message, now_s=now_s)
        return ()

    def _on_probe(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        own = self._view.own
        reply = wire.ProbeReply(
            name=own.name,
            incarnation=own.incarnation,
            nonce=incoming.message.nonce,
        )
        return _replies_to(incoming, (reply,))

    def _on_probe_reply(
        self, incoming: wire.Incoming, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        return ()


def _replies_to(
    incoming: wire.Incoming, replies: tuple[wire.AnyMessage, ...]
) -> tuple[wire.Outgoing, ...]:
    return tuple(
        wire.Outgoing(target=incoming.source, message=reply)
        for reply in replies
    )
