"""Errors of the node.

Transport errors state in ``outcome`` what is known about the work: it was
not run if nothing was sent, and unknown if the answer to a sent request was
lost.
"""

from fescueknot.calls import Outcome
from fescueknot.errors import FescueknotError
from fescueknot.node.problems import Problem


class NodeError(FescueknotError):
    """Base of the errors of this package."""


class EnvelopeError(NodeError):
    """A call between nodes carried no valid signature."""


class ControlError(NodeError):
    """A control call to another node got no usable answer."""


class TransportError(NodeError):
    """A call got no complete answer."""

    outcome = Outcome.UNKNOWN


class ConnectFailedError(TransportError):
    """No connection could be opened, so nothing was sent."""

    outcome = Outcome.NOT_RUN


class AnswerLostError(TransportError):
    """The request was sent, and no complete answer came back."""


class AnswerTimeoutError(AnswerLostError):
    """No complete answer came before the deadline."""


class CallerGoneError(AnswerLostError):
    """The caller closed its connection while the call was running."""


class RefusedError(NodeError):
    """A request is refused at its entry; carries the problem."""

    def __init__(self, *, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem
