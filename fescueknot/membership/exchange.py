"""Exchanges: two nodes bring each other up to date.

The opener sends a summary and recent changes; the peer answers with its own
and the documents that the opener lacks; the opener pushes what the peer
lacks, and its evidence when that is fresher. When the catalogs still differ,
the opener begins a repair. All messages stay below one packet.
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

NEWS_LIMIT_BYTES = 600
TRANSFER_LIMIT_BYTES = 2400
EVIDENCE_GAIN_S = 0.5
_MS_PER_S = 1000


class Exchanges:
    """The node's side of all exchanges."""

    def __init__(
        self, *, view: LocalView, repair: Repair, bulk: BulkCopies
    ) -> None:
        self._view = view
        self._outstanding = OutstandingRequests()
        self._repairs = repair
        self._bulk = bulk

    def open(self, *, now_s: float, rng: random.Random) -> wire.Exchange:
        """Return the first message of an exchange."""
        return wire.Exchange(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            nonce=self._outstanding.register(now_s=now_s, rng=rng),
            summary=self._view.summary(now_s),
            news=self._view.rumours.take(limit_bytes=NEWS_LIMIT_BYTES),
        )

    def answer(
        self, message: wire.Exchange, *, now_s: float, rng: random.Random
    ) -> tuple[wire.AnyMessage, ...]:
        """Answer an opened exchange."""
        self._view.merge_all(message.news, now_s=now_s)
        self._bulk.compare(message.name, message.summary)
        transfer = None
        if message.summary.cursor < self._view.documents.cursor:
            transfer = self._export(message.summary.cursor)
        reply = wire.ExchangeReply(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            nonce=message.nonce,
            summary=self._view.summary(now_s),
            news=self._news_for(message),
            transfer=transfer,
            asks=self._ask_back(message.summary, now_s, rng),
        )
        return (reply,)

    def close(
        self, message: wire.ExchangeReply, *, now_s: float, rng: random.Random
    ) -> tuple[wire.AnyMessage, ...]:
        """Take an answer in; return what the peer lacks, or go on asking."""
        self._view.merge_all(message.news, now_s=now_s)
        if message.transfer is not None:
            self._apply(message.name, message.transfer, now_s)
        self._relay(message.nonce, message.summary)
        self._bulk.compare(message.name, message.summary)
        answers = self._push(message, now_s)
        if _is_cut_short(message.transfer):
            return (*answers, self.open(now_s=now_s, rng=rng))
        return answers + self._repair(message.summary, now_s)

    def take_push(
        self, message: wire.Push, *, now_s: float
    ) -> tuple[wire.AnyMessage, ...]:
        """Take pushed documents in, and the evidence that was asked for."""
        if message.transfer is not None:
            self._apply(message.name, message.transfer, now_s)
        self._relay(message.nonce, message.summary)
        return ()

    def _news_for(self, message: wire.Exchange) -> tuple[Announcement, ...]:
        news = self._view.rumours.take(limit_bytes=NEWS_LIMIT_BYTES)
        sender = self._view.catalog.find(message.name)
        if sender is None or sender in news:
            return news
        is_outdated = sender.incarnation > message.incarnation
        if is_outdated or not sender.is_working:
            return (*news, sender)
        return news

    def _export(self, cursor: int) -> Transfer:
        return self._view.documents.export(
            after=cursor, limit_bytes=TRANSFER_LIMIT_BYTES
        )

    def _apply(self, source: str, transfer: Transfer, now_s: float) -> None:
        self._view.apply(transfer)
        self._bulk.follow(source, transfer, now_s=now_s)

    def _ask_back(
        self, summary: wire.Summary, now_s: float, rng: random.Random
    ) -> int | None:
        """Ask for the opener's evidence when it is much fresher."""
        if summary.age_ms == UNKNOWN_AGE_MS:
            return None
        gain_s = self._view.evidence.age_s(now_s) - summary.age_ms / _MS_PER_S
        if gain_s < EVIDENCE_GAIN_S:
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

    def _relay(self, nonce: int | None, summary: wire.Summary) -> None:
        """Date an answer's evidence from when its question was sent."""
        asked_at_s = None
        if nonce is not None:
            asked_at_s = self._outstanding.complete(nonce)
        if asked_at_s is not None:
            self._view.relay(summary, asked_at_s=asked_at_s)

    def _repair(
        self, summary: wire.Summary, now_s: float
    ) -> tuple[wire.AnyMessage, ...]:
        if summary.root == self._view.catalog.root:
            return ()
        return self._repairs.begin(now_s=now_s)


def _is_cut_short(transfer: Transfer | None) -> bool:
    if transfer is None:
        return False
    return transfer.upto < transfer.goal and bool(transfer.documents)
