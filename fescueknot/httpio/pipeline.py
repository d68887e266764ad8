"""Pipelined requests of one connection, answered in the order received."""

import asyncio
import collections
import itertools
import logging
from collections.abc import Callable, Iterable, Iterator

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Request, Response, size_bytes
from fescueknot.httpio.unanswered import Unanswered, UnansweredCounts
from fescueknot.running_loop import running_loop

_LOG = logging.getLogger('fescueknot.httpio')
# Pipelined requests of one connection that may run at the same time. With that
# many pending, no further piece of the input is parsed; the last piece may have
# held more.
_MAX_PENDING_REQUESTS = 16
_FAILED_STATUS = 500
AnswerFuture = asyncio.Future[Response | None]


class PipelinedRequest:
    """A request; ``answer`` is the future of its response once started."""

    __slots__ = ('answer', 'keep_alive', 'request', 'request_bytes')

    def __init__(
        self,
        *,
        request: Request,
        keep_alive: bool,
        answer: AnswerFuture | None = None,
    ) -> None:
        self.request = request
        self.request_bytes = size_bytes(request)
        self.keep_alive = keep_alive
        self.answer = answer

    @property
    def is_done(self) -> bool:
        """Return whether the request has been answered or has failed."""
        return self.answer is not None and self.answer.done()

    @property
    def response_bytes(self) -> int:
        """Return about how many bytes its response takes so far."""
        response = self.response() if self.is_done else None
        return size_bytes(response) if response else 0

    def response(self) -> Response | None:
        """Return the response; 500 if the handler failed.

        A handler that was cancelled while its request is pending has failed
        too: a wait of its own was cancelled by others.
        """
        if self.answer.cancelled() or self.answer.exception() is not None:
            return Response(status=_FAILED_STATUS)
        return self.answer.result()


class RequestPipeline:
    """The pending requests of a connection.

    A request runs in parallel with earlier requests only if the handler
    allows all of them to overlap. ``on_end`` is called when a handler ends.
    Requests that are cancelled count in ``unanswered``.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        peer: str,
        on_end: Callable[[AnswerFuture], None],
        unanswered: UnansweredCounts,
    ) -> None:
        self._handler = handler
        self._peer = peer
        self._on_end = on_end
        self._unanswered = unanswered
        self._pending: collections.deque[PipelinedRequest] = collections.deque()
        self._requests_bytes = 0

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Return whether no further request is to be taken for now."""
        return len(self._pending) >= _MAX_PENDING_REQUESTS

    @property
    def held_bytes(self) -> int:
        """Return about how many bytes the pending requests take."""
        if not self._pending:
            return 0
        started = itertools.islice(self._pending, _MAX_PENDING_REQUESTS)
        return self._requests_bytes + sum(
            pending.response_bytes for pending in started
        )

    @property
    def any_started(self) -> bool:
        """Return whether any pending request has been started."""
        return any(pending.answer is not None for pending in self._pending)

    def add(self, request: Request, *, keep_alive: bool) -> None:
        """Add a received request."""
        self._append(PipelinedRequest(request=request, keep_alive=keep_alive))

    def add_final_response(self, response: Response) -> None:
        """Add a response of the server itself, after which it closes."""
        answer = running_loop().create_future()
        answer.set_result(response)
        placeholder = Request(method='GET', target='/')
        pending = PipelinedRequest(
            request=placeholder, keep_alive=False, answer=answer
        )
        self._append(pending)

    def start(self) -> list[AnswerFuture]:
        """Start the handlers of all requests that may run now."""
        started = []
        for pending in self._startable():
            if pending.answer is None:
                pending.answer = self._start_handler(pending.request)
                started.append(pending.answer)
        return started

    def pop_answered(self) -> PipelinedRequest | None:
        """Remove and return the first pending request if it is done."""
        if not (self._pending and self._pending[0].is_done):
            return None
        answered = self._pending.popleft()
        self._requests_bytes -= answered.request_bytes
        if answered.answer.cancelled():
            # Cancelled by the connection, it would not be pending any more.
            _LOG.warning('httpio: a wait of a handler was cancelled')
        return answered

    def cancel_all(self, reason: Unanswered) -> None:
        """Cancel and remove all pending requests; count them."""
        for pending in self._pending:
            if pending.answer is not None:
                pending.answer.cancel()
        self._unanswered.add(reason, len(self._pending))
        self._pending.clear()
        self._requests_bytes = 0

    def _append(self, pending: PipelinedRequest) -> None:
        self._pending.append(pending)
        self._requests_bytes += pending.request_bytes

    def _startable(self) -> Iterable[PipelinedRequest]:
        if len(self._pending) < 2:
            # Without an earlier request there is nothing to overlap.
            return tuple(self._pending)
        return self._startable_of_many()

    def _startable_of_many(self) -> Iterator[PipelinedRequest]:
        overlapping = True
        first = itertools.islice(self._pending, _MAX_PENDING_REQUESTS)
        for index, pending in enumerate(first):
            overlaps = self._handler.may_overlap(pending.request)
            overlapping = overlapping and overlaps
            if index and not overlapping:
                return
            yield pending
            if not pending.keep_alive:
                return

    def _start_handler(self, request: Request) -> AnswerFuture:
        handling = self._handler.answer(request, self._peer)
        answer = running_loop().create_task(handling)
        answer.add_done_callback(self._on_end)
        return answer
