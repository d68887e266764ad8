"""Errors of membership."""

from fescueknot.errors import FescueknotError


class MembershipError(FescueknotError):
    """Base of all errors raised by this package."""


class DatagramError(MembershipError):
    """A datagram was not signed correctly or can't be decoded."""


class AuthenticationError(DatagramError):
    """A datagram wasn't signed with the shared key."""


class MalformedDatagramError(DatagramError):
    """A datagram was signed but can't be decoded."""


class FeedError(MembershipError):
    """Reading the store failed."""


class FeedCompactedError(FeedError):
    """The store has compacted the changes since the last reading."""


class RosterWriteError(MembershipError):
    """A write of a roster was not confirmed."""


class BulkError(MembershipError):
    """Fetching or decoding a bulk copy failed."""
