"""Errors of the object API.

The classes distinguish writes that certainly did not take effect, writes that
may have taken effect, and writes that conflict with another writer's.
"""

from fescueknot.errors import FescueknotError


class ObjectApiError(FescueknotError):
    """Base of all errors of the object API."""


class Unavailable(ObjectApiError):
    """A read failed, or a write failed and did not take effect."""


class OutcomeUnknown(ObjectApiError):
    """The response to a write was lost; the write may have taken effect."""


class Conflict(ObjectApiError):
    """The object already exists, or has another version than expected."""


class NotFound(ObjectApiError):
    """There is no object with the key."""


class Compacted(ObjectApiError):
    """The store has dropped changes that a watch needs; list again."""


class TooLarge(ObjectApiError):
    """The value exceeds the size limit of the store."""


class RateLimited(ObjectApiError):
    """The call exceeded a rate limit and did not take effect."""

    def __init__(self, message: str, *, retry_after_s: float = 1) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
