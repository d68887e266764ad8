"""Bounds the waits of a server's connection for its client."""

import asyncio
import enum
import functools
import types
from collections.abc import Callable, Mapping

from fescueknot.httpio.kernel_buffers import unread_bytes
from fescueknot.httpio.timer import Timer

# A client that takes no byte of its response for this time is disconnected.
_STALLED_READER_TIMEOUT_S = 15.0
_READER_CHECK_INTERVAL_S = 1.0


class Awaited(enum.Enum):
    """What a connection waits for."""

    REQUEST_HEAD = enum.auto()
    REQUEST_BODY = enum.auto()
    RESPONSE_READ = enum.auto()
    CLOSE = enum.auto()
    NEXT_REQUEST = enum.auto()
    NOTHING = enum.auto()


class TimeLimit:
    """A time, which may change during a wait, and what is done at its end.

    With ``after_delivery`` the action waits for a client that still reads what
    the kernel holds: if it sends meanwhile, closing would cost it the
    rest.
    """

    def __init__(
        self,
        *,
        limit_s: Callable[[], float],
        action: Callable[[], None],
        after_delivery: bool = False,
    ) -> None:
        self.limit_s = limit_s
        self.action = action
        self.after_delivery = after_delivery


class ClientWaits:
    """Runs the time limit of what is awaited; one at a time.

    A client that reads its response slowly has no limit, while it reads.
    ``on_read`` is called when it has read some of it.
    """

    def __init__(
        self,
        *,
        limits: Mapping[Awaited, TimeLimit],
        on_read: Callable[[], None],
    ) -> None:
        self._limits = types.MappingProxyType(dict(limits))
        self._on_read = on_read
        self._timer = Timer()
        self._current = Awaited.NOTHING
        self._request_number = 0

    def begin(
        self,
        awaited: Awaited,
        transport: asyncio.Transport,
        request_number: int = 0,
    ) -> None:
        """Begin to wait, for a part of the request with a number.

        The limit of a head runs from its first byte and is not extended by
        further bytes, so that a slow client cannot occupy a connection.
        """
        is_same = awaited is self._current
        is_same = is_same and request_number == self._request_number
        if is_same and awaited is Awaited.REQUEST_HEAD:
            return
        self.stop()
        self._request_number = request_number
        self._current = awaited
        limit = self._limits.get(awaited)
        if awaited is Awaited.RESPONSE_READ:
            self._watch(transport, stalled_s=0)
        elif limit is not None:
            self._wait(limit, transport, limit.limit_s())

    def defer(self, action: Callable[[], None]) -> None:
        """Act once the event loop has read what has arrived."""
        self._timer.set(0, action)

    def stop(self) -> None:
        """Wait for nothing."""
        self._timer.stop()
        self._current = Awaited.NOTHING

    def _wait(
        self,
        limit: TimeLimit,
        transport: asyncio.Transport,
        wait_s: float,
        waited_s: float = 0,
    ) -> None:
        end = functools.partial(
            self._end_wait, limit, transport, waited_s + wait_s
        )
        self._timer.set(wait_s, end)

    def _end_wait(
        self, limit: TimeLimit, transport: asyncio.Transport, waited_s: float
    ) -> None:
        """Act, or wait on for a limit that has grown or for the reader."""
        left_s = limit.limit_s() - waited_s
        if left_s > 0:
            self._wait(limit, transport, left_s, waited_s)
        elif limit.after_delivery and unread_bytes(transport):
            self.begin(Awaited.RESPONSE_READ, transport)
        else:
            limit.action()

    def _watch(self, transport: asyncio.Transport, *, stalled_s: float) -> None:
        check = functools.partial(
            self._check,
            transport,
            unread_bytes(transport),
            stalled_s + _READER_CHECK_INTERVAL_S,
        )
        self._timer.set(_READER_CHECK_INTERVAL_S, check)

    def _check(
        self, transport: asyncio.Transport, before_bytes: int, stalled_s: float
    ) -> None:
        is_stalled = unread_bytes(transport) == before_bytes
        if is_stalled and stalled_s >= _STALLED_READER_TIMEOUT_S:
            transport.abort()
        elif is_stalled:
            self._watch(transport, stalled_s=stalled_s)
        else:
            self._on_read()
