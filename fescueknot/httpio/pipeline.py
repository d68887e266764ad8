"""Pipelined requests of one connection, answered in their order."""

import asyncio
import collections
from collections.abc import Callable, Iterator

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Request, Response

Answer = asyncio.Future[Response | None]


class Turn:
    """One request and its answer, once it was started."""

    def __init__(
        self,
        *,
        request: Request,
        keep_alive: bool,
        answer: Answer | None = None,
    ) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.answer = answer

    @property
    def is_done(self) -> bool:
        """Tell whether there is an answer."""
        return self.answer is not None and self.answer.done()

    def response(self) -> Response | None:
        """Return the answer; a handler that failed answers 500."""
        if self.answer.cancelled():
            return None
        if self.answer.exception() is not None:
            return Response(status=500, closing=True)
        return self.answer.result()


class Turns:
    """The requests of a connection that are not answered yet.

    One runs beside its predecessors only if the handler says that all of
    them may overlap.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        peer: str,
        ended: Callable[[Answer], None],
    ) -> None:
        self._handler = handler
        self._peer = peer
        self._ended = ended
        self._waiting: collections.deque[Turn] = collections.deque()

    def __len__(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._waiting)

    @property
    def any_started(self) -> bool:
        """Tell whether a request is being worked on."""
        return any(turn.answer is not None for turn in self._waiting)

    def add(self, request: Request, *, keep_alive: bool) -> None:
        """Take a request that was read."""
        self._waiting.append(Turn(request=request, keep_alive=keep_alive))

    def add_last(self, response: Response) -> None:
        """Let an answer of the server's own come last."""
        answer = asyncio.get_running_loop().create_future()
        answer.set_result(response)
        nothing = Request(method='GET', target='/')
        turn = Turn(request=nothing, keep_alive=False, answer=answer)
        self._waiting.append(turn)

    def start(self) -> list[Answer]:
        """Start each request whose turn it is."""
        started = []
        for turn in self._startable():
            if turn.answer is None:
                turn.answer = self._begin(turn.request)
                started.append(turn.answer)
        return started

    def take_done(self) -> Turn | None:
        """Return the next request if it has its answer."""
        if self._waiting and self._waiting[0].is_done:
            return self._waiting.popleft()
        return None

    def abandon(self) -> None:
        """Cancel all: nobody waits for the answers."""
        for turn in self._waiting:
            if turn.answer is not None:
                turn.answer.cancel()
        self._waiting.clear()

    def _startable(self) -> Iterator[Turn]:
        overlapping = True
        for index, turn in enumerate(self._waiting):
            overlaps = self._handler.may_overlap(turn.request)
            overlapping = overlapping and overlaps
            if index and not overlapping:
                return
            yield turn
            if not turn.keep_alive:
                return

    def _begin(self, request: Request) -> Answer:
        working = self._handler.answer(request, self._peer)
        answer = asyncio.get_running_loop().create_task(working)
        answer.add_done_callback(self._ended)
        return answer
