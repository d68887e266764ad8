"""Errors of HTTP connections.

The classes distinguish requests that were certainly not sent from requests
that the server may have received: only the former may always be sent again.
"""

from fescueknot.errors import FescueknotError


class HttpIoError(FescueknotError):
    """Base of all errors of HTTP connections."""


class NotSentError(HttpIoError):
    """No connection could be opened; nothing was sent."""


class NotListeningError(NotSentError):
    """The connection was refused: no process listens at the address."""


class AnswerLostError(HttpIoError):
    """The request was sent, but no complete response was received."""
