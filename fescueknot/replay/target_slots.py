"""Slots of a target: some work, a few wait in order, the rest is shed."""

import collections

from fescueknot.replay.engine import Engine, Process, Signal


class TargetSlots:
    """What the target itself does when it gets more than it can hold."""

    def __init__(self, *, slots: int, queue_limit: int, engine: Engine) -> None:
        self._free = slots
        self._queue_limit = queue_limit
        self._engine = engine
        self._waiting: collections.deque[Signal] = collections.deque()

    @property
    def full(self) -> bool:
        """Return whether one more request would be shed."""
        return self._free == 0 and len(self._waiting) >= self._queue_limit

    def take(self, until_s: float) -> Process:
        """Wait for a slot; return whether it is held."""
        if self._free:
            self._free -= 1
            return True
        signal = self._engine.signal()
        self._waiting.append(signal)
        self._engine.call_at(until_s, lambda: self._expire(signal))
        return (yield signal)

    def give_back(self) -> None:
        """Let the first in the queue go on, or free the slot."""
        if self._waiting:
            self._waiting.popleft().fire(True)
        else:
            self._free += 1

    def _expire(self, signal: Signal) -> None:
        if signal in self._waiting:
            self._waiting.remove(signal)
            signal.fire(False)
