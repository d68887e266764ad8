"""Slots of a target: how many requests it works on at the same time."""

import collections
import contextlib
import threading
from collections.abc import Callable, Iterator

from tools.standin.errors import CancelledError, ExpiredError, ShedError

_POLL_S = 0.05


class Slots:
    """A bounded, first-in first-out wait for one of ``slots`` slots."""

    def __init__(self, *, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self._queue_limit = queue_limit
        self._changed = threading.Condition()
        self._busy = 0
        self._waiting: collections.deque[object] = collections.deque()

    @property
    def in_flight(self) -> int:
        """Return the number of requests being worked on."""
        return self._busy

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    @contextlib.contextmanager
    def taken(
        self, *, left_s: Callable[[], float], gone: Callable[[], bool]
    ) -> Iterator[None]:
        """Hold a slot.

        Raise :class:`ShedError` when too many wait, :class:`ExpiredError`
        when ``left_s`` reaches zero, :class:`CancelledError` when the caller
        is ``gone``; no work has been done in any of these cases.
        """
        self._take(left_s, gone)
        try:
            yield
        finally:
            self._give_back()

    def _take(
        self, left_s: Callable[[], float], gone: Callable[[], bool]
    ) -> None:
        ticket = object()
        with self._changed:
            if len(self._waiting) >= self._queue_limit:
                raise ShedError
            self._waiting.append(ticket)
            try:
                self._wait(ticket, left_s, gone)
            except (ExpiredError, CancelledError):
                self._waiting.remove(ticket)
                self._changed.notify_all()
                raise
            self._waiting.popleft()
            self._busy += 1

    def _wait(
        self,
        ticket: object,
        left_s: Callable[[], float],
        gone: Callable[[], bool],
    ) -> None:
        while self._waiting[0] is not ticket or self._busy >= self.slots:
            self._changed.wait(_POLL_S)
            if gone():
                raise CancelledError
            if left_s() <= 0:
                raise ExpiredError

    def _give_back(self) -> None:
        with self._changed:
            self._busy -= 1
            self._changed.notify_all()
