"""JSON lines on standard output that never hold up the process.

Lines wait in a bounded buffer; what doesn't fit is dropped by event and
counted, and one line tells how many of which were dropped.
"""

import collections
import os
import time

import msgspec

_MOST_BUFFERED_BYTES = 262_144
# What a process may write in a second; changes of belief go beyond it.
_BYTES_PER_S = 65_536


class LineBuffer:
    """Writes to a descriptor as far as it takes bytes."""

    def __init__(
        self,
        *,
        descriptor: int,
        most_bytes: int = _MOST_BUFFERED_BYTES,
        bytes_per_s: int = _BYTES_PER_S,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most_bytes = most_bytes
        self._bytes_per_s = bytes_per_s
        self._held = bytearray()
        self._allowance = float(bytes_per_s)
        self._paid_s = float(0)
        self._dropped: collections.Counter[str] = collections.Counter()

    def add(
        self, event: str, line: bytes, now_s: float, *, rate_exempt: bool
    ) -> None:
        """Take a line; drop it when there is no room."""
        self._earn(now_s)
        costly = not rate_exempt and self._allowance < len(line)
        if costly or len(self._held) + len(line) > self._most_bytes:
            self._dropped[event] += 1
            return
        self._allowance -= len(line)
        self._held += line

    def take_dropped(self) -> dict[str, int]:
        """Return how many lines of which event were dropped, once."""
        dropped = dict(self._dropped)
        self._dropped.clear()
        return dropped

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place left to tell.
                self._held.clear()
                return
            self._held = self._held[written:]

    def _earn(self, now_s: float) -> None:
        earned = (now_s - self._paid_s) * self._bytes_per_s
        self._allowance = min(self._bytes_per_s, self._allowance + earned)
        self._paid_s = now_s


class DecisionLog:
    """One JSON line a decision: time, node, event and its details."""

    def __init__(self, *, node: str, buffer: LineBuffer) -> None:
        self._node = node
        self._buffer = buffer
        self._encoder = msgspec.json.Encoder()

    def write(
        self, event: str, details: dict, *, rate_exempt: bool = False
    ) -> None:
        """Add a line; ``rate_exempt`` events are never dropped for their rate."""
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
        """Tell what was dropped and write what can be written."""
        dropped = self._buffer.take_dropped()
        if dropped:
            self.write('log.dropped', {'lines': dropped}, rate_exempt=True)
        self._buffer.flush()
