"""Errors of admission."""

from fescueknot.errors import FescueknotError


class AdmissionError(FescueknotError):
    """Base class of the errors raised by admission."""


class UnknownTicketError(AdmissionError):
    """The ticket is neither waiting nor running."""


class DuplicateTicketError(AdmissionError):
    """A ticket was offered while still waiting or running."""
