"""Targets that have ended, as files that other processes see."""

import asyncio
import pathlib

_POLL_S = 0.05


class Departures:
    """Tells across processes which targets have ended for good."""

    def __init__(self, *, folder: str) -> None:
        self._folder = pathlib.Path(folder)

    def note(self, host: str) -> None:
        """Note that the target of a host has ended."""
        self._path(host).touch()

    async def wait(self, host: str) -> None:
        """Wait until the target of a host has ended."""
        while not self._path(host).exists():
            await asyncio.sleep(_POLL_S)

    def _path(self, host: str) -> pathlib.Path:
        return self._folder / f'{host}.gone'
