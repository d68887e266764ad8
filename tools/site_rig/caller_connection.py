"""A caller's connection: requests in order, and how each of them ended."""

import asyncio
import functools
import time
from collections import deque

import httptools

from tools.site_rig.answer_reader import AnswerReader
from tools.site_rig.delay_line import DelayLine
from tools.site_rig.end_watch import EndWatch
from tools.site_rig.exchanges import Answer, Exchange
from tools.site_rig.manners import USUAL, Manner
from tools.site_rig.records import Outcome
from tools.site_rig.sending import Sending

_CONTINUE = 100


class CallerConnection(asyncio.Protocol):
    """Sends requests one behind the other and reads their answers.

    What is sent and what comes takes ``delay_s`` each way, ends and resets
    too.
    """

    def __init__(self, *, manner: Manner = USUAL, delay_s: float = 0) -> None:
        self.is_usable = False
        self.idle_since_s = time.monotonic()
        self._manner = manner
        self._waiting: deque[Exchange] = deque()
        self._transport: asyncio.Transport | None = None
        self._reader = AnswerReader()
        self._end_watch = EndWatch()
        self._sending: Sending | None = None
        self._out = DelayLine(delay_s=delay_s)
        self._in = DelayLine(delay_s=delay_s)

    @property
    def waiting(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._waiting)

    @property
    def takes_more(self) -> bool:
        """Tell whether another request may be sent, behind others or not."""
        return self.is_usable and not self._is_cut_short

    def send(self, exchange: Exchange, head: bytes, body: bytes) -> None:
        """Send a request."""
        exchange.is_behind = bool(self._waiting)
        exchange.is_kept = self._sending is not None
        self._waiting.append(exchange)
        self._sending = Sending(
            transport=self._transport, line=self._out, manner=self._manner
        )
        self._sending.send(exchange, head, body)
        if self._manner.ends_with(is_kept=exchange.is_kept):
            self.is_usable = False
        if self._manner.read_pause_s:
            self._end_watch.pause(self._transport, self._manner.read_pause_s)

    def close(self) -> None:
        """Give up all requests."""
        self._end_all(Outcome.GAVE_UP)
        self._out.put(self._transport.abort)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take requests from now on."""
        self._transport = transport
        self.is_usable = True

    def data_received(self, chunk: bytes) -> None:
        """Read answers."""
        self._in.put(functools.partial(self._read, chunk))

    def eof_received(self) -> bool:
        """End the requests that wait; the connection is closed then."""
        self._in.put(self._read_end)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End the requests that wait."""
        self._in.put(functools.partial(self._lose, error))

    def _read(self, chunk: bytes) -> None:
        try:
            answers = self._reader.feed(chunk)
        except httptools.HttpParserError:
            self._transport.abort()
            return
        for answer in answers:
            if answer.status == _CONTINUE and self._sending is not None:
                self._sending.go_on()
            else:
                self._end_next(answer)

    @property
    def _is_cut_short(self) -> bool:
        """Tell whether the end of the last request will never be sent."""
        return self._sending is not None and not self._sending.is_complete

    def _end_next(self, answer: Answer) -> None:
        is_last = not self._reader.should_keep_alive
        if self._is_cut_short or (is_last and self._manner.heeds_close):
            self.is_usable = False
        if not self._waiting:
            return
        exchange = self._waiting.popleft()
        exchange.answer = answer
        self.idle_since_s = time.monotonic()
        exchange.end(Outcome.ANSWERED)

    def _read_end(self) -> None:
        last = self._reader.finish()
        if last is not None:
            self._end_next(last)
        self._end_all(Outcome.ENDED, self._end_watch.seen_s)
        self._out.put(self._transport.close)

    def _lose(self, error: Exception | None) -> None:
        for exchange in self._waiting:
            exchange.is_reset = error is not None
        self._end_all(Outcome.ENDED, self._end_watch.seen_s)

    def _end_all(self, outcome: Outcome, at_s: float = 0) -> None:
        self.is_usable = False
        while self._waiting:
            exchange = self._waiting.popleft()
            is_after = at_s > exchange.began_s
            exchange.end(outcome, at_s if is_after else 0)
