"""Holds a SIGHUP that comes before the node handles signals.

Its default action ends the process. Imports nothing but ``signal``, as the
main module runs it before all other imports.
"""

import signal
import types

_held: list[int] = []


def hold() -> None:
    """Take note of each SIGHUP from now on, and do nothing else."""
    signal.signal(signal.SIGHUP, _take_note)


def was_held() -> bool:
    """Return whether a SIGHUP has come since :func:`hold`."""
    return bool(_held)


def _take_note(number: int, frame: types.FrameType | None) -> None:
    _held.append(number)
