"""Errors of retries."""

from fescueknot.errors import FescueknotError


class RetryError(FescueknotError):
    """Base class of the errors raised by retries."""


class AllotmentError(RetryError):
    """An allotment is negative, or more is returned than was lent."""
