"""Bounds how much is parsed in one turn of the event loop.

In one turn, each connection of a process may receive 256 KiB. If all of it were
parsed in that turn, requests in chunks of one byte would block the event loop
for seconds. So a turn parses a bounded number of parts; what remains waits for
later turns, in the order of its connections.
"""

import asyncio
import collections
from collections.abc import Callable

# A part is what the parser reports: a header, a chunk, a beginning or an end of
# a request. It took 0.3 to 2 microseconds of processor time (trial).
_PARTS_PER_TURN = 4000


class ParsingTurns:
    """Counts the parts that are parsed in each turn of the event loop."""

    def __init__(self, *, parts_per_turn: int = _PARTS_PER_TURN) -> None:
        self._parts_per_turn = parts_per_turn
        self._left = parts_per_turn
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._is_scheduled = False

    @property
    def may_parse(self) -> bool:
        """Return whether more is to be parsed in this turn."""
        return self._left > 0

    @property
    def may_begin(self) -> bool:
        """Return whether a connection is to parse what it receives now.

        False while others wait, as they were first.
        """
        return self.may_parse and not self._waiting

    def spend(self, parts: int) -> None:
        """Count parts that were parsed.

        A new turn for each request would cost it a system call, so the count is
        reset only after half of it is spent.
        """
        self._left -= parts
        if self._left < self._parts_per_turn // 2:
            self._schedule()

    def call_in_turn(self, callback: Callable[[], None]) -> None:
        """Call a function once, in one of the next turns."""
        self._waiting.append(callback)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._left = self._parts_per_turn
        # One that waits again is called in a later turn.
        turns = len(self._waiting)
        while turns and self.may_parse:
            turns -= 1
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()


class ParsingTurn:
    """Whether a connection waits to parse what it has received.

    ``on_turn`` is called when it may.
    """

    def __init__(
        self, *, turns: ParsingTurns, on_turn: Callable[[], None]
    ) -> None:
        self.is_awaited = False
        self._turns = turns
        self._on_turn = on_turn

    def wait(self) -> None:
        """Wait for one of the next turns of the event loop."""
        if not self.is_awaited:
            self.is_awaited = True
            self._turns.call_in_turn(self._take)

    def _take(self) -> None:
        self.is_awaited = False
        self._on_turn()
