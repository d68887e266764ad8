"""Interface of request handlers."""

import abc

from fescueknot.httpio.messages import Limits, Request, Response


class Handler(abc.ABC):
    """Answers the requests of a server's connections.

    An idle connection gets the ``closing_notice``, if any, before it is closed.
    A client that reads it as the answer to a request that crosses the close
    learns that this request has not been read.

    A client that ends its input while requests are in progress has left, unless
    it ``may_half_close`` and wait for the answers: then it is probed.
    """

    closing_notice: Response | None = None
    may_half_close = True

    @abc.abstractmethod
    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return the response, or ``None`` to abort the connection.

        ``peer`` is the client's IP address. The call is cancelled if the
        client disconnects.
        """

    @abc.abstractmethod
    def limits(self) -> Limits:
        """Return the current limits of requests."""

    def may_overlap(self, request: Request) -> bool:
        """Return whether pipelined requests may run at the same time.

        A request runs in parallel with earlier requests of its connection
        only if this is true of all of them.
        """
        return False
