"""Errors of the at-most-once protocol."""

from fescueknot.errors import FescueknotError


class IdempotencyError(FescueknotError):
    """Base of the errors of this package."""


class RosterChangeError(IdempotencyError):
    """A change that the current roster does not allow."""


class LedgerFullError(IdempotencyError):
    """The ledger has no capacity for another entry."""


class HandoverError(IdempotencyError):
    """A batch of entries that was sent to the wrong instance."""
