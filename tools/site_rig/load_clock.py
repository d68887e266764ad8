"""The time since the start of the load, for processes that begin before."""

import pathlib
import time

_FILE = 'began'


class LoadClock:
    """Reads from a run's folder when its load has begun."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / _FILE
        self._began_s = float('inf')

    @property
    def load_s(self) -> float:
        """Return the time since the start; below 0 before it is known."""
        if self._began_s == float('inf') and self._path.exists():
            self._began_s = float(self._path.read_text('ascii'))
        return time.monotonic() - self._began_s


def tell_start(folder: pathlib.Path, began_s: float) -> None:
    """Write when the load begins."""
    written = folder / f'{_FILE}.new'
    written.write_text(repr(began_s), 'ascii')
    written.replace(folder / _FILE)
