"""What a server's connections need of their server."""

import abc
import asyncio

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.parsing_turns import ParsingTurns
from fescueknot.httpio.pipeline import AnswerFuture
from fescueknot.httpio.refusals import RefusedCounts
from fescueknot.httpio.unanswered import UnansweredCounts


class ConnectionOwner(abc.ABC):
    """The server that a connection belongs to.

    While ``draining``, a connection is closed after a response unless a later
    request of it has been started.
    """

    draining = False
    buffers: BufferBudget
    turns: ParsingTurns
    refused: RefusedCounts
    unanswered: UnansweredCounts

    @abc.abstractmethod
    def connection_opened(self, connection: asyncio.BaseProtocol) -> None:
        """Record a new connection."""

    @abc.abstractmethod
    def connection_closed(self, connection: asyncio.BaseProtocol) -> None:
        """Record the end of a connection."""

    @abc.abstractmethod
    def connection_used(self, connection: asyncio.Protocol) -> None:
        """Record that a request of a connection has begun to run."""

    @abc.abstractmethod
    def request_started(self, answer: AnswerFuture) -> None:
        """Record that a handler started to answer a request."""

    @abc.abstractmethod
    def request_ended(self, answer: AnswerFuture) -> None:
        """Record the end of a request, with its error if it failed."""
