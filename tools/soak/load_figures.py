"""Load figures of the targets of a soak: noisy, at times absurd or missing."""

import contextlib
import random
from collections.abc import Iterator

from fescueknot.httpio.messages import Headers
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS

# Percent of the usual time that work takes, from the fastest target on.
_USUAL_PERCENT = (50, 150)
_NOISE = 0.3
_MISSING_SHARE = 0.05
_ABSURD_SHARE = 0.05
_ABSURD = (
    '',
    'x',
    '1,2,3',
    '1,2,3,4,5',
    '-1,0,8,100',
    '0,0,0,100',
    '0,0,8,-100',
    '0,0,8,0',
    '0,0,8,1000000',
    '0,0,8,nan',
    '0,0,8,inf',
    f'0,0,8,{"9" * 6000}',
)


class LoadFigures:
    """Figures of one target: running, waiting, slots, percent."""

    def __init__(self, *, rng: random.Random, slots: int, is_on: bool) -> None:
        self._is_on = is_on
        self._running = 0
        self._rng = rng
        self._slots = slots
        # A world without figures draws what it drew before there were any.
        self._percent = rng.uniform(*_USUAL_PERCENT) if is_on else 0

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request as running."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    def headers(self) -> Headers:
        """Return the header of an answer, or none."""
        if not self._is_on:
            return ()
        drawn = self._rng.random()
        if drawn < _MISSING_SHARE:
            return ()
        if drawn < _MISSING_SHARE + _ABSURD_SHARE:
            return ((HEADERS.load, self._rng.choice(_ABSURD)),)
        waiting = max(self._running - self._slots, 0)
        noise = self._rng.uniform(1 - _NOISE, 1 + _NOISE)
        figures = (
            self._running - waiting,
            waiting,
            self._slots,
            round(self._percent * noise),
        )
        return ((HEADERS.load, ','.join(map(str, figures))),)
