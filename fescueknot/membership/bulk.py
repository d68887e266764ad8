"""Bulk copies: state transfer over HTTP to a node that is far behind.

A datagram holds only a few changes. A new node, a node that was cut off for
long and a document larger than a packet need a bulk copy from a peer.
"""

import abc

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.gossip.documents import Transfer
from fescueknot.identity import Address
from fescueknot.membership.errors import BulkError
from fescueknot.membership.messages import Bulk, BulkRequest, Summary
from fescueknot.membership.view import LocalView

BULK_PERIOD_S = 5.0
CATCH_UP_TIMEOUT_S = 3.0
MIN_CATALOG_RATIO = 0.5
UNLIMITED_BYTES = 1 << 40


class BulkFetch(msgspec.Struct, frozen=True, kw_only=True):
    """A bulk copy to fetch: the address of the peer and the request."""

    peer: Address
    request: BulkRequest


class BulkClient(abc.ABC):
    """Fetches a bulk copy from a peer."""

    @abc.abstractmethod
    def fetch(self, peer: Address, request: BulkRequest) -> Bulk:
        """Return the copy; raise ``BulkError`` if the peer sends none."""


class BulkCopies:
    """Exports and applies bulk copies and decides when to fetch one."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._source: str | None = None
        self._wants_catalog = False
        self._incomplete_since_s: float | None = None
        self._requested_at_s = -BULK_PERIOD_S

    def check_catalog(self, source: str, summary: Summary) -> None:
        """Plan to fetch the catalog of ``source`` if it is much larger.

        That is, if the local catalog has less than
        :data:`MIN_CATALOG_RATIO` of the announcements that ``source`` has.
        """
        if len(self._view.catalog) < summary.known * MIN_CATALOG_RATIO:
            self._source = source
            self._wants_catalog = True

    def check_documents(
        self, source: str, transfer: Transfer, *, now_s: float
    ) -> None:
        """Plan to fetch documents of ``source`` if datagrams don't suffice.

        That is, if the next document doesn't fit into a datagram, or if the
        local copy has been incomplete for :data:`CATCH_UP_TIMEOUT_S`.
        """
        if self._view.documents.cursor >= self._view.documents.goal:
            self._incomplete_since_s = None
        elif self._incomplete_since_s is None:
            self._incomplete_since_s = now_s
        incomplete_since_s = self._incomplete_since_s
        is_overdue = (
            incomplete_since_s is not None
            and now_s - incomplete_since_s > CATCH_UP_TIMEOUT_S
        )
        is_too_large = transfer.upto < transfer.goal and not transfer.documents
        if is_overdue or is_too_large:
            self._source = source

    def next_fetch(self, *, now_s: float) -> BulkFetch | None:
        """Return the copy to fetch, at most one in :data:`BULK_PERIOD_S`."""
        is_too_early = now_s - self._requested_at_s < BULK_PERIOD_S
        if self._source is None or is_too_early:
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
        self._requested_at_s = now_s
        return BulkFetch(peer=peer.peer, request=request)

    def export(self, request: BulkRequest, *, now_s: float) -> Bulk:
        """Return a bulk copy for a peer."""
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
        """Apply a copy that was requested at ``asked_at_s``."""
        for announcement in bulk.announcements:
            self._view.merge_without_rumour(announcement, now_s=now_s)
        self._view.apply(bulk.transfer)
        self._view.relay_evidence(bulk.summary, asked_at_s=asked_at_s)


def encode_bulk(bulk: Bulk) -> bytes:
    """Encode a bulk copy as JSON."""
    return msgspec.json.encode(bulk)


def decode_bulk(body: bytes) -> Bulk:
    """Decode a bulk copy from JSON; raise ``BulkError`` if it is invalid."""
    try:
        return msgspec.json.decode(body, type=Bulk)
    except DECODE_ERRORS as error:
        raise BulkError(str(error)) from error
