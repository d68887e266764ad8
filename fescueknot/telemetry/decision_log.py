"""Log of JSON lines on a file descriptor, written without blocking.

Lines are kept in a bounded buffer until the descriptor accepts them. Lines
that do not fit into the buffer or exceed the rate limit are dropped. The
event ``log.dropped`` reports the number of dropped lines by event.
"""

import collections
import os
import time

import msgspec

_MAX_BUFFERED_BYTES = 262_144
# Rate limit of a process; rate-exempt lines may exceed it.
_MAX_BYTES_PER_S = 65_536


class LineBuffer:
    """Bounded buffer of lines to be written to a non-blocking descriptor.

    A token bucket of ``bytes_per_s`` limits the rate of added lines.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        max_bytes: int = _MAX_BUFFERED_BYTES,
        bytes_per_s: int = _MAX_BYTES_PER_S,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._bytes_per_s = bytes_per_s
        self._buffered = bytearray()
        self._tokens_bytes = float(bytes_per_s)
        self._refilled_at_s = float(0)
        self._dropped: collections.Counter[str] = collections.Counter()

    def add(
        self, event: str, line: bytes, now_s: float, *, rate_exempt: bool
    ) -> None:
        """Add ``line``, or drop it if a limit is exceeded.

        ``rate_exempt`` lines bypass the rate limit, but not the limit
        of the buffer. Dropped lines are counted by ``event``.
        """
        self._refill(now_s)
        over_rate = not rate_exempt and self._tokens_bytes < len(line)
        if over_rate or len(self._buffered) + len(line) > self._max_bytes:
            self._dropped[event] += 1
            return
        self._tokens_bytes -= len(line)
        self._buffered += line

    def pop_dropped(self) -> dict[str, int]:
        """Return the number of dropped lines by event and reset the counts."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped

    def flush(self) -> None:
        """Write as many bytes as the descriptor accepts without blocking."""
        while self._buffered:
            try:
                written = os.write(self._descriptor, self._buffered)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: the log can't report this.
                self._buffered.clear()
                return
            self._buffered = self._buffered[written:]

    def _refill(self, now_s: float) -> None:
        refill = (now_s - self._refilled_at_s) * self._bytes_per_s
        self._tokens_bytes = min(self._bytes_per_s, self._tokens_bytes + refill)
        self._refilled_at_s = now_s


class DecisionLog:
    """Writes events as JSON lines: time, node, event and its details."""

    def __init__(self, *, node: str, buffer: LineBuffer) -> None:
        self._node = node
        self._buffer = buffer
        self._encoder = msgspec.json.Encoder()

    def write(
        self, event: str, details: dict, *, rate_exempt: bool = False
    ) -> None:
        """Add a line; ``rate_exempt`` lines bypass the rate limit."""
        line = self._encoder.encode_lines(
            [
                {
                    'time_s': round(time.time(), 3),
                    'node': self._node,
                    'event': event,
                    **details,
                }
            ]
        )
        now_s = time.monotonic()
        self._buffer.add(event, line, now_s, rate_exempt=rate_exempt)

    def flush(self) -> None:
        """Report dropped lines and write as much as the descriptor accepts."""
        dropped = self._buffer.pop_dropped()
        if dropped:
            self.write('log.dropped', {'lines': dropped}, rate_exempt=True)
        self._buffer.flush()
