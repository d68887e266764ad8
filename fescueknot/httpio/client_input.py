"""Whether the input of a server's connection is taken, and read at all."""

import asyncio
from collections.abc import Callable

# Bytes that are read and discarded from a client that keeps sending after its
# last response. Then reading stops.
_LINGER_BYTES = 1_048_576


class ClientInput:
    """What a client may still send.

    With ``is_ended`` the client has closed its direction of the connection.
    With ``is_discarded`` what it sends is no more looked at.
    """

    def __init__(self) -> None:
        self.is_ended = False
        self.is_discarded = False
        self._discarded_bytes = 0

    @property
    def is_taken(self) -> bool:
        """Return whether requests are still to come."""
        return not (self.is_ended or self.is_discarded)

    def discard(self, received: bytes) -> None:
        """Count bytes that nobody looks at."""
        self._discarded_bytes += len(received)

    def update_reading(
        self, transport: asyncio.Transport, *, must_pause: bool
    ) -> None:
        """Pause or resume reading; a transport at the end of input is left."""
        if self.is_ended:
            return
        must_pause = must_pause or self._discarded_bytes > _LINGER_BYTES
        switch: Callable[[], None] = transport.resume_reading
        if must_pause:
            switch = transport.pause_reading
        if must_pause == transport.is_reading():
            switch()
