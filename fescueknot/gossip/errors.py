"""Errors of the gossip package."""

from fescueknot.errors import FescueknotError


class GossipError(FescueknotError):
    """Base of all errors raised by this package."""


class PackingError(GossipError):
    """A datagram can't be inflated."""


class UnreadableMessageError(GossipError):
    """A datagram is not a gossip message that this release can decode."""
