"""Keeps connections to servers that read a long request late."""

import asyncio
import contextlib
import functools
import logging
from collections.abc import Callable, Iterator

from fescueknot.httpio.kernel_buffers import unread_bytes
from fescueknot.httpio.tcp_options import set_unacknowledged_timeout
from fescueknot.httpio.tcp_state import read_peer_state
from fescueknot.httpio.timer import Timer

_LOG = logging.getLogger('fescueknot.httpio')
# A server that takes no byte of a request for this time is disconnected.
_STALLED_READER_TIMEOUT_S = 15.0
_CHECK_INTERVAL_S = 0.5
# Shorter requests find room in the other side's receive buffer.
MIN_LONG_BYTES = 16_384


class DeliveryWatch:
    """Watches one connection while a long request is being delivered.

    Linux also counts the time without room at the receiver towards
    ``TCP_USER_TIMEOUT``, though the receiver acknowledges the probes. So that
    time is extended meanwhile, and ``on_unresponsive`` is called when nothing
    is acknowledged for ``timeout_s``.
    """

    def __init__(
        self, *, timeout_s: float, on_unresponsive: Callable[[], None]
    ) -> None:
        self._timeout_s = timeout_s
        self._on_unresponsive = on_unresponsive
        self._timer = Timer()
        self._is_watching = False

    @contextlib.contextmanager
    def delivery(
        self,
        transport: asyncio.Transport,
        size_bytes: int,
        is_written: Callable[[], bool],
    ) -> Iterator[None]:
        """Watch the delivery of a request until its exchange ends.

        ``is_written`` says whether all was handed to the transport. Requests
        that are not long are not watched, and none where the kernel
        does not tell whether the server is responsive.
        """
        sock = transport.get_extra_info('socket')
        if size_bytes >= MIN_LONG_BYTES and read_peer_state(sock):
            self._begin(transport, is_written)
        try:
            yield
        finally:
            self._end(transport)

    def _begin(
        self, transport: asyncio.Transport, is_written: Callable[[], bool]
    ) -> None:
        self._is_watching = True
        self._set_timeout(transport, _STALLED_READER_TIMEOUT_S)
        self._check(transport, is_written)

    def _end(self, transport: asyncio.Transport) -> None:
        self._timer.stop()
        if self._is_watching:
            self._is_watching = False
            self._set_timeout(transport, self._timeout_s)

    def _check(
        self, transport: asyncio.Transport, is_written: Callable[[], bool]
    ) -> None:
        if transport.is_closing():
            return
        if self._is_unresponsive(transport):
            self._on_unresponsive()
        elif is_written() and not unread_bytes(transport):
            self._end(transport)
        else:
            check = functools.partial(self._check, transport, is_written)
            self._timer.set(_CHECK_INTERVAL_S, check)

    def _is_unresponsive(self, transport: asyncio.Transport) -> bool:
        state = read_peer_state(transport.get_extra_info('socket'))
        return state is not None and state.is_unresponsive(self._timeout_s)

    def _set_timeout(
        self, transport: asyncio.Transport, timeout_s: float
    ) -> None:
        if transport.is_closing():
            return
        try:
            set_unacknowledged_timeout(
                transport.get_extra_info('socket'), timeout_s
            )
        except OSError as error:
            _LOG.debug('httpio: cannot set the time of a socket: %r', error)
