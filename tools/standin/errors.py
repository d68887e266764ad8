"""Errors of the stand-ins."""


class StandInError(Exception):
    """Base of the errors of the stand-ins."""


class ShedError(StandInError):
    """The target refuses the request before any work."""


class ExpiredError(StandInError):
    """The deadline passed before any work."""


class CancelledError(StandInError):
    """The caller went away before any work."""


class NotConnectedError(StandInError):
    """No connection: nothing was sent."""


class LostError(StandInError):
    """The request was sent, but no whole answer came."""
