"""Errors of routing."""

from fescueknot.errors import FescueknotError


class RoutingError(FescueknotError):
    """Base class of the errors raised by routing."""


class DuplicateCandidateError(RoutingError):
    """An instance appears more than once among the candidates."""
