"""Responses of ``http.client`` whose lines come to an end."""

import io
import socket
from http.client import HTTPException, HTTPResponse

# All lines of one response: interim and final heads, sizes of chunks, trailers.
_MAX_LINES_BYTES = 4_194_304


class BoundedResponse(HTTPResponse):
    """Raises ``HTTPException`` when its lines are too long together.

    ``http.client`` skips any number of interim responses and trailers.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        # Nothing has been read yet that could be lost with the first reader.
        self.fp = _BoundedLines(self.fp.detach())


class _BoundedLines(io.BufferedReader):
    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._lines_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line and count its bytes."""
        line = super().readline(size)
        self._lines_bytes += len(line)
        if self._lines_bytes > _MAX_LINES_BYTES:
            raise HTTPException('lines without an end')
        return line
