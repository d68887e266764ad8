"""Responses of ``http.client`` that come to an end."""

import io
import socket
from collections.abc import Callable
from http.client import HTTPException, HTTPResponse

# All lines of one response: interim and final heads, sizes of chunks, trailers.
_MAX_LINES_BYTES = 4_194_304
# ``http.client`` takes HTTP/0.9 too.
_PROTOCOL = b'HTTP/1.'


class BoundedResponse(HTTPResponse):
    """Raises ``HTTPException`` when its lines are too long together.

    ``http.client`` skips any number of interim responses and trailers. Each
    read of the socket may take ``left_s``, which raises ``TimeoutError`` once
    no time is left. The time limit of a socket begins again with each byte.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        *,
        left_s: Callable[[], float],
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        # Nothing has been read yet that could be lost with the first reader.
        reads = _TimedReads(raw=self.fp.detach(), sock=sock, left_s=left_s)
        self.fp = _BoundedLines(reads)


class _TimedReads(io.RawIOBase):
    def __init__(
        self,
        *,
        raw: io.RawIOBase,
        sock: socket.socket,
        left_s: Callable[[], float],
    ) -> None:
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._left_s = left_s

    def readable(self) -> bool:
        """Return true."""
        return True

    def readinto(self, buffer: bytearray | memoryview, /) -> int | None:
        """Read once, for as long as is left."""
        self._sock.settimeout(self._left_s())
        return self._raw.readinto(buffer)

    def close(self) -> None:
        """Close the reader of the socket."""
        self._raw.close()
        super().close()


class _BoundedLines(io.BufferedReader):
    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._lines_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line and count its bytes."""
        line = super().readline(size)
        is_first = not self._lines_bytes
        # Without any byte, the connection has ended.
        if is_first and line and not line.startswith(_PROTOCOL):
            raise HTTPException('no response of HTTP/1.x')
        self._lines_bytes += len(line)
        if self._lines_bytes > _MAX_LINES_BYTES:
            raise HTTPException('lines without an end')
        return line
