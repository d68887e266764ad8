"""Exchanges: push-pull gossip between two nodes.

The opener sends its summary and recent announcements. The peer replies with
its own summary, its recent announcements and the documents that the opener
lacks. The opener then pushes the documents that the peer lacks, and its
evidence if the peer requested it because it is fresher. If the catalogs still
differ, the opener starts a repair. Each message fits into one packet.
"""

import random

from fescueknot.gossip.documents import Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS
from fescueknot.gossip.outstanding_requests import OutstandingRequests
from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.bulk import BulkCopies
from fescueknot.membership.repair import Repair
from fescueknot.membership.view import LocalView

MAX_ANNOUNCEMENT_BYTES = 600
MAX_TRANSFER_BYTES = 2400
MIN_EVIDENCE_GAIN_S = 0.5
_MS_PER_S = 1000


class Exchanges:
    """Local side of all exchanges."""

    def __init__(
        self, *, view: LocalView, repair: Repair, bulk: BulkCopies
    ) -> None:
        self._view = view
        self._outstanding = OutstandingRequests()
        self._repair = repair
        self._bulk = bulk

    def open(self, *, now_s: float, rng: random.Random) -> wire.Exchange:
        """Return the first message of an exchange."""
        return wire.Exchange(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            nonce=self._outstanding.register(now_s=now_s, rng=rng),
            summary=self._view.summary(now_s),
            news=self._view.rumours.next_batch(
                limit_bytes=MAX_ANNOUNCEMENT_BYTES
            ),
        )

    def reply(
        self, message: wire.Exchange, *, now_s: float, rng: random.Random
    ) -> tuple[wire.AnyMessage, ...]:
        """Apply the first message of an exchange and return the reply."""
        self._view.merge_all(message.news, now_s=now_s)
        self._bulk.check_catalog(message.name, message.summary)
        transfer = None
        if message.summary.cursor < self._view.documents.cursor:
            transfer = self._export(message.summary.cursor)
        reply = wire.ExchangeReply(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            nonce=message.nonce,
            summary=self._view.summary(now_s),
            news=self._announcements_for(message),
            transfer=transfer,
            asks=self._evidence_request(message.summary, now_s, rng),
        )
        return (reply,)

    def receive_reply(
        self, message: wire.ExchangeReply, *, now_s: float, rng: random.Random
    ) -> tuple[wire.AnyMessage, ...]:
        """Apply a reply; return what the peer lacks.

        If the reply's transfer was cut at the size limit, a new exchange is
        opened for the remaining documents. Otherwise a repair is started if
        the catalogs differ.
        """
        self._view.merge_all(message.news, now_s=now_s)
        if message.transfer is not None:
            self._apply(message.name, message.transfer, now_s)
        self._relay_evidence(message.nonce, message.summary)
        self._bulk.check_catalog(message.name, message.summary)
        replies = self._push(message, now_s)
        if _is_partial(message.transfer):
            return (*replies, self.open(now_s=now_s, rng=rng))
        return replies + self._start_repair(message.summary, now_s)

    def apply_push(
        self, message: wire.Push, *, now_s: float
    ) -> tuple[wire.AnyMessage, ...]:
        """Apply pushed documents and the evidence that was requested."""
        if message.transfer is not None:
            self._apply(message.name, message.transfer, now_s)
        self._relay_evidence(message.nonce, message.summary)
        return ()

    def _announcements_for(
        self, message: wire.Exchange
    ) -> tuple[Announcement, ...]:
        announcements = self._view.rumours.next_batch(
            limit_bytes=MAX_ANNOUNCEMENT_BYTES
        )
        sender = self._view.catalog.find(message.name)
        if sender is None or sender in announcements:
            return announcements
        is_outdated = sender.incarnation > message.incarnation
        if is_outdated or not sender.is_working:
            return (*announcements, sender)
        return announcements

    def _export(self, cursor: int) -> Transfer:
        return self._view.documents.export(
            after=cursor, limit_bytes=MAX_TRANSFER_BYTES
        )

    def _apply(self, source: str, transfer: Transfer, now_s: float) -> None:
        self._view.apply(transfer)
        self._bulk.check_documents(source, transfer, now_s=now_s)

    def _evidence_request(
        self, summary: wire.Summary, now_s: float, rng: random.Random
    ) -> int | None:
        """Return the nonce of a request for the opener's evidence.

        ``None`` unless that is fresher by :data:`MIN_EVIDENCE_GAIN_S`.
        """
        if summary.age_ms == UNKNOWN_AGE_MS:
            return None
        gain_s = self._view.evidence.age_s(now_s) - summary.age_ms / _MS_PER_S
        if gain_s < MIN_EVIDENCE_GAIN_S:
            return None
        return self._outstanding.register(now_s=now_s, rng=rng)

    def _push(
        self, reply: wire.ExchangeReply, now_s: float
    ) -> tuple[wire.AnyMessage, ...]:
        transfer = None
        if reply.summary.cursor < self._view.documents.cursor:
            transfer = self._export(reply.summary.cursor)
        if transfer is None and reply.asks is None:
            return ()
        push = wire.Push(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            nonce=reply.asks,
            summary=self._view.summary(now_s),
            transfer=transfer,
        )
        return (push,)

    def _relay_evidence(self, nonce: int | None, summary: wire.Summary) -> None:
        """Apply a peer's evidence, dated from when the request was sent."""
        asked_at_s = None
        if nonce is not None:
            asked_at_s = self._outstanding.complete(nonce)
        if asked_at_s is not None:
            self._view.relay_evidence(summary, asked_at_s=asked_at_s)

    def _start_repair(
        self, summary: wire.Summary, now_s: float
    ) -> tuple[wire.AnyMessage, ...]:
        if summary.root == self._view.catalog.root:
            return ()
        return self._repair.start(now_s=now_s)


def _is_partial(transfer: Transfer | None) -> bool:
    if transfer is None:
        return False
    return transfer.upto < transfer.goal and bool(transfer.documents)
