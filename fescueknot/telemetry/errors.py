"""Errors of the telemetry package."""

from fescueknot.errors import FescueknotError


class TelemetryError(FescueknotError):
    """Base of the errors of this package."""


class TraceparentError(TelemetryError):
    """Invalid ``traceparent`` header."""


class UnreadableMetricsError(TelemetryError):
    """Text that does not hold the metrics of a node."""
