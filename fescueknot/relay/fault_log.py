"""Logs errors that no part of a node has expected."""

import asyncio

from fescueknot.relay.observer import Observer


class FaultLog:
    """Writes ``node.fault`` for each unexpected error."""

    def __init__(self, *, observer: Observer) -> None:
        self._observer = observer

    def report(self, error: BaseException) -> None:
        """Log an error."""
        self._observer.note('node.fault', error=repr(error))

    def report_unhandled(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an error of a callback, or of a task that nobody awaits."""
        error = context.get('exception') or context.get('message')
        self._observer.note('node.fault', error=repr(error))
