"""A timer that can be restarted."""

import asyncio
from collections.abc import Callable

from fescueknot.running_loop import running_loop


class Timer:
    """Runs at most one pending action on the event loop."""

    def __init__(self) -> None:
        self._pending: asyncio.TimerHandle | None = None

    def set(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay_s``; replace a pending action."""
        self.stop()
        loop = running_loop()
        self._pending = loop.call_later(delay_s, action)

    def stop(self) -> None:
        """Cancel the pending action, if any."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
