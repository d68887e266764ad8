"""Delays what happens on a link, each thing as long as the others."""

import asyncio
import collections
from collections.abc import Callable


class DelayLine:
    """Does one thing after the other, each ``delay_s`` after it was asked."""

    def __init__(self, *, delay_s: float) -> None:
        self.delay_s = delay_s
        self._due: collections.deque[Callable[[], None]] = collections.deque()

    def put(self, action: Callable[[], None]) -> None:
        """Do it after the delay, and behind what was asked before."""
        if not self.delay_s:
            action()
            return
        self._due.append(action)
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._do_next)

    def _do_next(self) -> None:
        # Timers that are due together come in no order; their work does.
        self._due.popleft()()
