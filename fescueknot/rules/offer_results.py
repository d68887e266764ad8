"""What became of a log message that a node was offered."""

import enum

import msgspec


class RefusalReason(enum.StrEnum):
    """Why a message was not taken."""

    BROKEN = 'digest or delta is wrong'
    INVALID_RULES = 'the rules have problems'
    OTHER_CONTENT = 'another content for the version held'


class InForce(msgspec.Struct, frozen=True, kw_only=True):
    """The rules advanced to ``version``."""

    version: int


class AlreadyKnown(msgspec.Struct, frozen=True, kw_only=True):
    """The message is a duplicate or older than the version held."""

    version: int


class EntriesMissing(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the entries ``first`` to ``last``, or a snapshot after them."""

    first: int
    last: int


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The message was dropped; the rules in force stay."""

    version: int
    reason: RefusalReason
    detail: str = ''


Verdict = InForce | AlreadyKnown | EntriesMissing | Refused
