"""HTTP server: a listening socket and its connections."""

from collections.abc import Callable

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.connection_limits import (
    ConnectionLimits,
    ConnectionTable,
)
from fescueknot.httpio.connection_owner import ConnectionOwner
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.listener import Listener
from fescueknot.httpio.parsing_turns import ParsingTurns
from fescueknot.httpio.pipeline import AnswerFuture
from fescueknot.httpio.refusals import Refused, RefusedCounts
from fescueknot.httpio.unanswered import UnansweredCounts


class Server(ConnectionOwner):
    """Serves one address.

    ``report_error`` is called with each exception of a handler. Servers and
    clients with the same ``buffers`` bound their messages together, servers
    with the same ``turns`` the time for parsing. ``on_refused`` is called with
    the reason of each refusal by the server itself.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        report_error: Callable[[BaseException], None],
        buffers: BufferBudget | None = None,
        turns: ParsingTurns | None = None,
        limits: ConnectionLimits | None = None,
        on_refused: Callable[[Refused], None] | None = None,
    ) -> None:
        self.buffers = buffers or BufferBudget()
        self.turns = turns or ParsingTurns()
        self.unanswered = UnansweredCounts()
        self._handler = handler
        self._report_error = report_error
        self.refused = RefusedCounts(on_refused=on_refused)
        limits = limits or ConnectionLimits()
        self._connections = ConnectionTable(
            limit=limits.connections,
            on_closed=lambda: self.refused.add(Refused.CONNECTIONS),
        )
        self._in_progress: set[AnswerFuture] = set()
        self._listener = Listener(
            new_connection=self._new_connection,
            report_error=report_error,
            limits=limits,
        )

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests in progress."""
        return len(self._in_progress)

    @property
    def responses_unread(self) -> int:
        """Return the number of clients that have not read all of a response.

        What the kernel has not delivered yet is lost if the process
        ends and the client sends another request, or if the host is gone.
        """
        return sum(connection.has_unread for connection in self._connections)

    @property
    def requests_unfinished(self) -> int:
        """Return the number of requests that have been received in part."""
        return sum(connection.is_receiving for connection in self._connections)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self._listener.sockets[0].getsockname()[1]

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        await self._listener.start(host, port)

    def drain(self) -> None:
        """Close each connection after its next response.

        Further connections are still accepted.
        """
        self.draining = True

    def stop_listening(self) -> bool:
        """Stop accepting connections and close the idle connections.

        The remaining connections are closed after their next response, those
        that the kernel has accepted before too. Returns whether there is input
        to be read; then call this again, after the event loop has read it.
        """
        self.draining = True
        self._listener.end()
        has_input = self._listener.is_adopting
        for connection in self._connections:
            has_input |= connection.close_when_idle()
        return has_input

    def connection_opened(self, connection: ServerConnection) -> None:
        """Record a new connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Record the end of a connection."""
        self._connections.discard(connection)

    def request_started(self, answer: AnswerFuture) -> None:
        """Record that a handler started to answer a request."""
        self._in_progress.add(answer)

    def connection_used(self, connection: ServerConnection) -> None:
        """Record that a request of a connection has begun to run."""
        self._connections.mark_used(connection)

    def request_ended(self, answer: AnswerFuture) -> None:
        """Record the end of a request; report its exception if it failed."""
        self._in_progress.discard(answer)
        if not answer.cancelled() and answer.exception() is not None:
            self._report_error(answer.exception())

    def _new_connection(self) -> ServerConnection:
        return ServerConnection(handler=self._handler, owner=self)
