"""Results of offering a log message to a node."""

import enum

import msgspec


class RefusalReason(enum.StrEnum):
    """Why a message was refused."""

    BROKEN = 'digest or delta is wrong'
    INVALID_RULES = 'the rules have problems'
    OTHER_CONTENT = 'another content for the version held'


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """The rules of ``version`` are in force."""

    version: int


class AlreadyKnown(msgspec.Struct, frozen=True, kw_only=True):
    """The message is a duplicate or older than the head."""

    version: int


class EntriesMissing(msgspec.Struct, frozen=True, kw_only=True):
    """Entries ``first`` to ``last`` are missing.

    They, or a newer snapshot, have to be requested.
    """

    first: int
    last: int


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The message was refused; the rules in force are unchanged."""

    version: int
    reason: RefusalReason
    detail: str = ''


OfferResult = InForce | AlreadyKnown | EntriesMissing | Refused
