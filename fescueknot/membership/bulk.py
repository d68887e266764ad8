"""Bulk copies: how a node that is far behind catches up.

A datagram holds a few changes. A new node, one that was cut off for long, or
a document larger than a packet needs a copy over HTTP from a peer.
"""

import abc

import msgspec

from fescueknot.gossip.documents import Transfer
from fescueknot.identity import Address
from fescueknot.membership.errors import BulkError
from fescueknot.membership.messages import Bulk, BulkRequest, Summary
from fescueknot.membership.view import LocalView

BULK_PERIOD_S = 5.0
PATIENCE_S = 3.0
CATALOG_SHARE = 0.5
UNLIMITED_BYTES = 1 << 40


class BulkFetch(msgspec.Struct, frozen=True, kw_only=True):
    """Whom to ask for what."""

    peer: Address
    request: BulkRequest


class BulkClient(abc.ABC):
    """Fetches a bulk copy from a peer."""

    @abc.abstractmethod
    def fetch(self, peer: Address, request: BulkRequest) -> Bulk:
        """Return the copy; raise ``BulkError``."""


class BulkCopies:
    """Gives and takes bulk copies, and says when one is needed."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._source: str | None = None
        self._wants_catalog = False
        self._behind_since_s: float | None = None
        self._asked_at_s = -BULK_PERIOD_S

    def compare(self, source: str, summary: Summary) -> None:
        """Ask ``source`` for its catalog when it knows far more."""
        if len(self._view.catalog) < summary.known * CATALOG_SHARE:
            self._source = source
            self._wants_catalog = True

    def follow(self, source: str, transfer: Transfer, *, now_s: float) -> None:
        """Ask ``source`` for documents when datagrams don't bring them.

        That is when one doesn't fit, or when they have not brought everything
        after :data:`PATIENCE_S`.
        """
        if self._view.documents.cursor >= self._view.documents.goal:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now_s
        since_s = self._behind_since_s
        is_slow = since_s is not None and now_s - since_s > PATIENCE_S
        is_stuck = transfer.upto < transfer.goal and not transfer.documents
        if is_slow or is_stuck:
            self._source = source

    def next_fetch(self, *, now_s: float) -> BulkFetch | None:
        """Return what to ask now, at most once in :data:`BULK_PERIOD_S`."""
        is_early = now_s - self._asked_at_s < BULK_PERIOD_S
        if self._source is None or is_early:
            return None
        peer = self._view.catalog.find(self._source)
        request = BulkRequest(
            cursor=self._view.documents.cursor,
            wants_catalog=self._wants_catalog,
        )
        self._source = None
        self._wants_catalog = False
        if peer is None:
            return None
        self._asked_at_s = now_s
        return BulkFetch(peer=peer.peer, request=request)

    def export(self, request: BulkRequest, *, now_s: float) -> Bulk:
        """Return a copy for a peer."""
        announcements = ()
        if request.wants_catalog:
            announcements = self._view.catalog.all_announcements()
        return Bulk(
            summary=self._view.summary(now_s),
            transfer=self._view.documents.export(
                after=request.cursor, limit_bytes=UNLIMITED_BYTES
            ),
            announcements=announcements,
        )

    def apply(self, bulk: Bulk, *, asked_at_s: float, now_s: float) -> None:
        """Take in a copy that was asked for at ``asked_at_s``."""
        for announcement in bulk.announcements:
            self._view.merge_without_rumour(announcement, now_s=now_s)
        self._view.apply(bulk.transfer)
        self._view.relay(bulk.summary, asked_at_s=asked_at_s)


def encode_bulk(bulk: Bulk) -> bytes:
    """Return a bulk copy as JSON."""
    return msgspec.json.encode(bulk)


def decode_bulk(body: bytes) -> Bulk:
    """Return a bulk copy from JSON; raise ``BulkError``."""
    try:
        return msgspec.json.decode(body, type=Bulk)
    except msgspec.MsgspecError as error:
        raise BulkError(str(error)) from error
