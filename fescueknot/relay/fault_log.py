"""Logs errors that no part of a node has expected."""

import asyncio
import time
from collections.abc import Callable

from fescueknot.relay.observer import Observer

# An error that goes on is logged once in this time. While a process has no
# descriptor left, asyncio reports up to 1,024 errors for each new connection.
_INTERVAL_S = 1.0
# Beyond this number of different errors, those before are forgotten.
_MAX_REMEMBERED = 64


class _Repeated:
    """When an error was logged, and how often it has come since."""

    def __init__(self, *, logged_at_s: float) -> None:
        self.logged_at_s = logged_at_s
        self.unlogged = 0


class FaultLog:
    """Writes ``node.fault`` for unexpected errors, equal ones once a second.

    ``unlogged`` is the number of equal errors that were left out before.
    """

    def __init__(
        self,
        *,
        observer: Observer,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._observer = observer
        self._clock = clock
        self._repeated: dict[str, _Repeated] = {}

    def report(self, error: BaseException) -> None:
        """Log an error."""
        self._write(repr(error))

    def report_unhandled(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an error of a callback, or of a task that nobody awaits."""
        error = context.get('exception') or context.get('message')
        self._write(repr(error))

    def _write(self, error: str) -> None:
        now_s = self._clock()
        before = self._repeated.get(error)
        if before is None:
            self._remember(error, now_s)
            self._observer.note('node.fault', error=error)
        elif now_s - before.logged_at_s < _INTERVAL_S:
            before.unlogged += 1
        else:
            self._remember(error, now_s)
            self._observer.note(
                'node.fault', error=error, unlogged=before.unlogged
            )

    def _remember(self, error: str, now_s: float) -> None:
        if len(self._repeated) >= _MAX_REMEMBERED:
            self._repeated.clear()
        self._repeated[error] = _Repeated(logged_at_s=now_s)
