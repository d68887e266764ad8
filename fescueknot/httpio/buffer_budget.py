"""Bounds the memory of all messages that a process holds at the same time.

Each connection has a share. The share that has been large for longest may take
all that is left, and half of the budget is kept for it, so that of many large
messages at a time one is completed. Each other share may grow while it is at
most twice as large as what is left then: many messages get less each, and small
ones find room until the end (dynamic thresholds, Choudhury and Hahne 1998).

A connection that finds no room either refuses what it was sent or waits until
others have released some.
"""

import functools
from collections.abc import Callable

_GROWTH_FACTOR = 2
# Beyond this part of the budget, no large new requests are taken on.
_SCARCE_RATIO = 0.75
_DEFAULT_BYTES = 134_217_728
# Shares up to this size always find room. Their number is bounded by that of
# connections.
_FREE_BYTES = 4096


class BufferBudget:
    """Bytes that the messages of a process may take together."""

    def __init__(self, *, limit_bytes: int = _DEFAULT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        # Responses that clients have not read yet. They are held though there
        # is no room. If they did not count, each response in turn would be
        # completed as the first large share.
        self.unread_bytes = 0
        # In the order in which they became large.
        self._large_shares: dict[BufferShare, None] = {}
        self._waiting: list[Callable[[], None]] = []

    @property
    def is_scarce(self) -> bool:
        """Return whether no large new requests are to be taken on."""
        return self.used_bytes > self.limit_bytes * _SCARCE_RATIO

    def takes_new(self, size_bytes: int) -> bool:
        """Return whether a new request of a size is to be taken on.

        Small ones are until all is used: the first large message may take more
        than what is scarce, and for long.
        """
        if _is_large(size_bytes):
            return not self.is_scarce
        return self.used_bytes + size_bytes <= self.limit_bytes

    def share(self) -> 'BufferShare':
        """Return a share without any bytes."""
        return BufferShare(budget=self)

    def has_room(self, share: 'BufferShare', size_bytes: int) -> bool:
        """Return whether a share may grow to a size."""
        if not _is_large(size_bytes):
            return True
        used_bytes = self.used_bytes - share.size_bytes + size_bytes
        left_bytes = self.limit_bytes - used_bytes
        first = next(iter(self._large_shares), share)
        if first is share:
            half_bytes = self.limit_bytes // 2
            may_exceed = max(size_bytes, self.unread_bytes) <= half_bytes
            return left_bytes >= 0 or may_exceed
        kept_bytes = self.limit_bytes // 2 - first.size_bytes
        left_bytes -= max(0, kept_bytes)
        return size_bytes <= left_bytes * _GROWTH_FACTOR

    def count(self, share: 'BufferShare', size_bytes: int) -> None:
        """Count a share with a new size; wake who waits if it has shrunk."""
        growth_bytes = size_bytes - share.size_bytes
        self.used_bytes += growth_bytes
        share.size_bytes = size_bytes
        if _is_large(size_bytes):
            self._large_shares.setdefault(share)
        else:
            self._large_shares.pop(share, None)
        if growth_bytes < 0 and self._waiting:
            self._wake()

    def call_on_release(self, callback: Callable[[], None]) -> None:
        """Call a function once, when a share has become smaller."""
        self._waiting.append(callback)

    def _wake(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for callback in waiting:
            callback()


class BufferShare:
    """Bytes of a budget that one connection holds."""

    def __init__(self, *, budget: BufferBudget) -> None:
        self._budget = budget
        self._unread_bytes = 0
        self.size_bytes = 0

    @property
    def is_large(self) -> bool:
        """Return whether the connection has been given room already."""
        return _is_large(self.size_bytes)

    def try_resize(self, size_bytes: int) -> bool:
        """Set the size; return false if there is no room to grow so far."""
        grows = size_bytes > self.size_bytes
        if grows and not self._budget.has_room(self, size_bytes):
            return False
        self.resize(size_bytes)
        return True

    def resize(self, size_bytes: int) -> None:
        """Set the size of what is held already."""
        if size_bytes != self.size_bytes:
            self._budget.count(self, size_bytes)

    def count_unread(self, unread_bytes: int) -> None:
        """Count how much of it waits for the client to read."""
        self._budget.unread_bytes += unread_bytes - self._unread_bytes
        self._unread_bytes = unread_bytes

    def wait_for_room(self, callback: Callable[[], None]) -> None:
        """Call a function once the share, as it is, fits into the budget."""
        if self._budget.has_room(self, self.size_bytes):
            callback()
        else:
            self._budget.call_on_release(
                functools.partial(self.wait_for_room, callback)
            )


def _is_large(size_bytes: int) -> bool:
    return size_bytes > _FREE_BYTES
