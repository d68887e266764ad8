"""Observers of the node's decisions: log and metrics."""

import abc

from fescueknot.relay.metrics import NodeMetrics
from fescueknot.telemetry.decision_log import DecisionLog

# Changes of state: the rate limit of the log does not drop their lines.
_RARE_EVENTS = (
    'node.',
    'store.',
    'routes.',
    'target.',
    'targets.',
    'request.',
    'quota.owner',
    'quota.lease_lost',
    'quota.store_failed',
    'log.',
    'load.',
    'domain.',
)


class Observer(abc.ABC):
    """Receives the decisions of a node, for logs and metrics."""

    @abc.abstractmethod
    def note(self, event: str, **details: object) -> None:
        """Record an event; ``details`` are the fields of its log line."""


class LogObserver(Observer):
    """Writes decisions to the log and counts them."""

    def __init__(self, *, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def note(self, event: str, **details: object) -> None:
        """Write one log line and update the metrics."""
        self._metrics.note(event, details)
        rate_exempt = event.startswith(_RARE_EVENTS)
        self._log.write(event, details, rate_exempt=rate_exempt)
