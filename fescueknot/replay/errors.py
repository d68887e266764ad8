"""Errors of the replay."""

from fescueknot.errors import FescueknotError


class ReplayError(FescueknotError):
    """Base of all errors raised by the replay."""


class TraceError(ReplayError):
    """A trace or a file of expectations is malformed."""
