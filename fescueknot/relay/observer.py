"""Where decisions are told to: the log and the metrics."""

import abc

from fescueknot.relay.metrics import NodeMetrics
from fescueknot.telemetry.decision_log import DecisionLog

# Changes of belief: their lines are not dropped for their rate.
_RARE_EVENTS = ('node.', 'store.', 'routes.', 'target.', 'targets.', 'log.')


class Observer(abc.ABC):
    """Takes decisions, for logs and metrics."""

    @abc.abstractmethod
    def note(self, event: str, **details: object) -> None:
        """Take one decision and what it was made of."""


class LogObserver(Observer):
    """Writes decisions to the log and counts them."""

    def __init__(self, *, log: DecisionLog, metrics: NodeMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def note(self, event: str, **details: object) -> None:
        """Write one line."""
        self._metrics.note(event, details)
        rate_exempt = event.startswith(_RARE_EVENTS)
        self._log.write(event, details, rate_exempt=rate_exempt)
