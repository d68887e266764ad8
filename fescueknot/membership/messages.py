"""Messages between nodes, encoded as JSON arrays in UDP datagrams.

Every message names its sender, see :class:`Message`, so that each received
datagram shows that the sender is alive. All ages are in milliseconds; -1
means unknown.
"""

import msgspec

from fescueknot.gossip.documents import Transfer
from fescueknot.identity import Address
from fescueknot.membership.announcements import Announcement


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of all messages: name and incarnation of the sender."""

    name: str
    incarnation: int


class Summary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Summary of the sender's state.

    ``cursor`` is the revision of the store up to which the sender has
    documents, ``held`` the last revision of which it has the whole state, and
    ``age_ms`` the age of the evidence for ``held``. ``root`` is the digest of
    the sender's catalog and ``known`` the number of announcements in it.
    """

    cursor: int
    held: int
    age_ms: int
    root: int
    known: int


class Exchange(Message, frozen=True, kw_only=True, tag='x'):
    """Opens an exchange with a peer; the reply repeats ``nonce``.

    ``news`` holds recent announcements.
    """

    nonce: int
    summary: Summary
    news: tuple[Announcement, ...] = ()


class ExchangeReply(Message, frozen=True, kw_only=True, tag='r'):
    """Answers an exchange with what the opener lacks.

    ``news`` holds recent announcements. ``asks`` is the nonce of a request
    for the opener's evidence, set if that is fresher than the sender's.
    """

    nonce: int
    summary: Summary
    news: tuple[Announcement, ...] = ()
    transfer: Transfer | None = None
    asks: int | None = None


class Push(Message, frozen=True, kw_only=True, tag='p'):
    """Closes an exchange with the documents that the replier lacks.

    ``nonce`` is ``asks`` of the reply; the evidence in ``summary`` answers
    that request.
    """

    nonce: int | None
    summary: Summary
    transfer: Transfer | None = None


class TreeDigests(Message, frozen=True, kw_only=True, tag='d'):
    """Digests of the children of a node of the sender's digest tree.

    ``level`` and ``index`` identify the node.
    """

    level: int
    index: int
    digests: tuple[int, ...]


class LeafAnnouncements(Message, frozen=True, kw_only=True, tag='l'):
    """Announcements of the leaf ``index`` of the sender's digest tree.

    If ``wants_reply`` is set, the receiver replies with those of its own leaf
    that ``news`` lacks.
    """

    index: int
    news: tuple[Announcement, ...] = ()
    wants_reply: bool = False


class Notification(Message, frozen=True, kw_only=True, tag='n'):
    """Announcements sent directly to chosen nodes, besides gossip."""

    news: tuple[Announcement, ...]


class WitnessRequest(Message, frozen=True, kw_only=True, tag='w'):
    """Requests a witness to probe an instance that doesn't answer."""

    target: str
    target_incarnation: int


class WitnessReport(Message, frozen=True, kw_only=True, tag='t'):
    """Reports whether a probed instance answered the witness."""

    target: str
    target_incarnation: int
    is_reached: bool


class Probe(Message, frozen=True, kw_only=True, tag='?'):
    """Requests a reply that shows that the receiver is alive."""

    nonce: int


class ProbeReply(Message, frozen=True, kw_only=True, tag='!'):
    """Reply to a probe."""

    nonce: int


AnyMessage = (
    Exchange
    | ExchangeReply
    | Push
    | TreeDigests
    | LeafAnnouncements
    | Notification
    | WitnessRequest
    | WitnessReport
    | Probe
    | ProbeReply
)


class Incoming(msgspec.Struct, frozen=True, kw_only=True):
    """A received message and the address of its sender."""

    source: Address
    message: AnyMessage


class Outgoing(msgspec.Struct, frozen=True, kw_only=True):
    """A message to send and the address of its receiver."""

    target: Address
    message: AnyMessage


class BulkRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requests all documents after ``cursor`` from a peer.

    ``wants_catalog`` requests its announcements too.
    """

    cursor: int
    wants_catalog: bool


class Bulk(msgspec.Struct, frozen=True, kw_only=True):
    """Documents, and announcements if they were requested."""

    summary: Summary
    transfer: Transfer
    announcements: tuple[Announcement, ...] = ()
