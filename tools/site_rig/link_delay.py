"""Delays what passes over a connection, or arrives as datagrams."""

import asyncio
import functools
from collections.abc import Callable, Mapping

from tools.site_rig.delay_line import DelayLine


class DelayedTransport(asyncio.Transport):
    """The connecting side of a link; what is sent leaves after a delay."""

    def __init__(self, *, inner: asyncio.Transport, delay_s: float) -> None:
        super().__init__()
        self._inner = inner
        self._line = DelayLine(delay_s=delay_s)
        self._under_way_bytes = 0
        self.is_closed_here = False
        self._is_paused = False
        self._held: list[Callable[[], None]] = []

    def get_extra_info(self, name: str, default=None):
        """Return what the socket's own transport says."""
        return self._inner.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Tell whether it was closed from here or has failed."""
        return self.is_closed_here or self._inner.is_closing()

    def is_reading(self) -> bool:
        """Tell whether input is passed on."""
        return not self._is_paused

    def pause_reading(self) -> None:
        """Pass on no input; what is under way waits."""
        self._is_paused = True
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Pass on what has waited, and go on."""
        self._is_paused = False
        self._inner.resume_reading()
        while self._held and not self._is_paused:
            self._held.pop(0)()

    def arrive(self, event: Callable[[], None]) -> None:
        """Pass on input whose time has come."""
        if self._is_paused or self._held:
            self._held.append(event)
        elif not self.is_closed_here:
            event()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set when the protocol is told to pause."""
        self._inner.set_write_buffer_limits(high, low)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return when the protocol is told to pause."""
        return self._inner.get_write_buffer_limits()

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait, those under way too."""
        return self._inner.get_write_buffer_size() + self._under_way_bytes

    def write(self, data: bytes) -> None:
        """Send bytes after the delay."""
        sent = bytes(data)
        self._under_way_bytes += len(sent)
        self._line.put(functools.partial(self._write, sent))

    def can_write_eof(self) -> bool:
        """Tell that the output can end before the input."""
        return True

    def write_eof(self) -> None:
        """End the output behind what was sent."""
        self._line.put(self._inner.write_eof)

    def close(self) -> None:
        """Close the connection behind what was sent."""
        self.is_closed_here = True
        self._line.put(self._inner.close)

    def abort(self) -> None:
        """Reset the connection behind what is under way."""
        self.is_closed_here = True
        self._line.put(self._inner.abort)

    def _write(self, sent: bytes) -> None:
        self._under_way_bytes -= len(sent)
        if not self._inner.is_closing():
            self._inner.write(sent)


class DelayedProtocol(asyncio.Protocol):
    """Passes input on to a protocol after a delay."""

    def __init__(self, *, inner: asyncio.Protocol, delay_s: float) -> None:
        self.transport: DelayedTransport | None = None
        self._inner = inner
        self._delay_s = delay_s
        self._line = DelayLine(delay_s=delay_s)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Give the protocol a transport that delays."""
        self.transport = DelayedTransport(
            inner=transport, delay_s=self._delay_s
        )
        self._inner.connection_made(self.transport)

    def data_received(self, chunk: bytes) -> None:
        """Pass bytes on."""
        self._put(functools.partial(self._inner.data_received, chunk))

    def eof_received(self) -> bool:
        """Pass the end of the input on; the protocol says what follows."""
        self._put(self._end_input)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the end on, behind what has arrived before it."""
        if self.transport.is_closed_here:
            self._inner.connection_lost(error)
        else:
            self._line.put(functools.partial(self._lose, error))

    def pause_writing(self) -> None:
        """Pass it on."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass it on."""
        self._inner.resume_writing()

    def _put(self, event: Callable[[], None]) -> None:
        self._line.put(functools.partial(self.transport.arrive, event))

    def _lose(self, error: Exception | None) -> None:
        # What waits behind a pause is still read.
        self.transport.resume_reading()
        self._inner.connection_lost(error)

    def _end_input(self) -> None:
        if not self._inner.eof_received():
            self.transport.close()


class DelayedDatagrams(asyncio.DatagramProtocol):
    """Passes datagrams of other hosts on after the delays of their links."""

    def __init__(
        self, *, inner: asyncio.DatagramProtocol, delays_s: Mapping[str, float]
    ) -> None:
        self._inner = inner
        self._lines = {
            ip: DelayLine(delay_s=delay_s) for ip, delay_s in delays_s.items()
        }

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Pass it on."""
        self._inner.connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass it on."""
        self._inner.connection_lost(error)

    def datagram_received(self, sent: bytes, source: tuple[str, int]) -> None:
        """Pass a datagram on when its time has come."""
        arrive = functools.partial(self._inner.datagram_received, sent, source)
        line = self._lines.get(source[0])
        if line is None:
            arrive()
        else:
            line.put(arrive)

    def error_received(self, error: OSError) -> None:
        """Pass it on."""
        self._inner.error_received(error)
