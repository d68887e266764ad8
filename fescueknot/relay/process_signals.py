"""Handles the signals of a node's process, and holds an early SIGHUP.

The default action of SIGHUP ends the process. Imports next to nothing, as the
main module runs it before all other imports.
"""

import signal
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

_held: list[int] = []


def hold() -> None:
    """Take note of each SIGHUP from now on, and do nothing else."""
    signal.signal(signal.SIGHUP, _take_note)


def install(
    loop: 'asyncio.AbstractEventLoop',
    *,
    stop: 'Callable[[], None]',
    reload: 'Callable[[], None]',
) -> None:
    """Handle signals in an event loop from now on."""
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


def was_held() -> bool:
    """Return whether a SIGHUP has come since :func:`hold`."""
    return bool(_held)


def _take_note(number: int, frame: types.FrameType | None) -> None:
    _held.append(number)
