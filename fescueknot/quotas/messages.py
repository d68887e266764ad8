"""Messages between a node and the owner of a region's share of the quotas."""

from typing import Annotated

import msgspec

from fescueknot.decoding import Count, Name

# Accounts in one query, so that it fits into one packet.
MAX_NEEDS = 32
# In an answer: the owner knows no limit of the account.
NOT_LIMITED = -1
# An owner that is far behind names no longer time.
_MAX_AFTER_MS = 60_000

_MAX_TOKENS = 1_000_000
MAX_SHARDS = 64

_FITS_PACKET = msgspec.Meta(max_length=MAX_NEEDS)
_Shard = Annotated[int, msgspec.Meta(ge=0, lt=MAX_SHARDS)]
_GrantedRange = msgspec.Meta(ge=NOT_LIMITED, le=_MAX_TOKENS)
_Granted = Annotated[int, _GrantedRange]
_AfterMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AFTER_MS)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)]


class Need(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tokens of one account: requested, and returned as not used."""

    account: Name
    tokens: _Tokens
    returned: _Tokens = 0


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to one :class:`Need`.

    ``tokens`` is :data:`NOT_LIMITED` if the owner knows no limit of the
    account. If fewer than requested are granted, the owner is likely to have
    the next one ``after_ms`` later.
    """

    tokens: _Granted
    after_ms: _AfterMs = 0


class QuotaMessage(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of the messages, each in one datagram.

    ``start`` distinguishes the starts of the node that asks, ``number`` orders
    its queries of one start.
    """

    start: Count
    number: Count
    shard: _Shard


class QuotaQuery(QuotaMessage, frozen=True, kw_only=True, tag='qq'):
    """Requests and returns tokens; without needs it asks for the owner."""

    needs: Annotated[tuple[Need, ...], _FITS_PACKET] = ()


class QuotaAnswer(QuotaMessage, frozen=True, kw_only=True, tag='qa'):
    """Grants in the order of the needs.

    A node that is not the owner grants nothing and names the ``holder`` of the
    lease, if it knows it.
    """

    is_owner: bool
    holder: Name = ''
    grants: Annotated[tuple[Grant, ...], _FITS_PACKET] = ()


AnyQuotaMessage = QuotaQuery | QuotaAnswer
