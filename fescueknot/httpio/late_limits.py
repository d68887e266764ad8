"""Time limits of answers that spare an answer which has arrived in time."""

import asyncio
import functools
import types

from fescueknot.running_loop import running_loop

# Turns of the event loop from a socket to the task that waits for its answer,
# through a new connection or a few tasks. Each turn also reads on.
_TURNS = 8


class LateLimit:
    """A time limit that acts some turns of the event loop late.

    A process that has stood still finds the time over and the answer in its
    kernel in the same turn. ``asyncio.timeout`` would drop the answer.

    Raises ``TimeoutError`` in its block a few turns after a time. If the time
    is over, the block does not begin: it might send what nobody waits for.
    """

    def __init__(self, *, at_s: float) -> None:
        self._begin_at_s = at_s
        self._pending: asyncio.Handle | None = None
        self._at_s: float | None = None
        self._task: asyncio.Task[object] | None = None
        self._cancelling = 0
        self._has_acted = False

    async def __aenter__(self) -> 'LateLimit':
        """Begin the block of the current task."""
        loop = running_loop()
        if self._begin_at_s <= loop.time():
            raise TimeoutError
        self._task = asyncio.current_task(loop)
        self._cancelling = self._task.cancelling()
        self.move_to(self._begin_at_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Turn the cancellation by the limit into ``TimeoutError``.

        A cancellation by others, before or meanwhile, stays one.
        """
        self.stop()
        if not self._has_acted:
            return
        is_own = self._task.uncancel() <= self._cancelling
        if is_own and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def move_to(self, at_s: float) -> None:
        """Act some turns after this time."""
        self.stop()
        self._at_s = at_s
        act = functools.partial(self._act, _TURNS)
        self._pending = running_loop().call_at(at_s, act)

    def move_ahead(self, at_s: float) -> None:
        """Act no later than at this time, unless the limit acts already."""
        if self._at_s is not None and at_s < self._at_s:
            self.move_to(at_s)

    def stop(self) -> None:
        """Act no more."""
        self._at_s = None
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    def _act(self, turns: int) -> None:
        self._at_s = None
        act = self._cancel
        if turns:
            act = functools.partial(self._act, turns - 1)
        self._pending = running_loop().call_soon(act)

    def _cancel(self) -> None:
        self._pending = None
        self._has_acted = True
        self._task.cancel()


def late_limit_at(at_s: float) -> LateLimit:
    """Raise ``TimeoutError`` in the block a few turns after a time."""
    return LateLimit(at_s=at_s)


def late_limit(limit_s: float) -> LateLimit:
    """Raise ``TimeoutError`` in the block a few turns after ``limit_s``."""
    return LateLimit(at_s=running_loop().time() + limit_s)
