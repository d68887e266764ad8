"""Runs tasks that go on after errors that nobody has expected."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from fescueknot.relay.observer import Observer

_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 5.0


class Supervisor:
    """Starts the work of a task again whenever it ends.

    Work that keeps failing is started again after pauses that double.
    """

    def __init__(self, *, observer: Observer, rng: random.Random) -> None:
        self._observer = observer
        self._rng = rng
        # The event loop itself keeps weak references to tasks only.
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        """Start a task; cancelling it ends the work."""
        task = asyncio.ensure_future(self.run(name, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run work that is meant to go on until it is cancelled."""
        pause_s = _FIRST_PAUSE_S
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            await self._run_once(name, work)
            if loop.time() - began_s > _MAX_PAUSE_S:
                pause_s = _FIRST_PAUSE_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1))
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)

    async def _run_once(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        error_text = ''
        try:
            await work()
        except Exception as error:  # noqa: BLE001
            error_text = repr(error)
        self._observer.note('node.task_ended', task=name, error=error_text)
