"""What a store held earlier, for reads that may be stale."""

import asyncio
import time

import msgspec

Key = tuple[str, str]
Objects = dict[Key, dict]


class _Write(msgspec.Struct, frozen=True, kw_only=True):
    """One write; ``stored`` is ``None`` for a removal."""

    written_s: float
    revision: int
    key: Key
    stored: dict | None


class StoreHistory:
    """All writes in their order."""

    def __init__(self) -> None:
        self._writes: list[_Write] = []

    def add(self, key: Key, revision: int, stored: dict | None) -> None:
        """Take a write that is done now."""
        self._writes.append(
            _Write(
                written_s=_now_s(),
                revision=revision,
                key=key,
                stored=stored,
            )
        )

    def forget_after(self, age_s: float) -> None:
        """Drop the writes that :meth:`before` leaves out."""
        until_s = _now_s() - age_s
        self._writes = [
            write for write in self._writes if write.written_s <= until_s
        ]

    def before(self, age_s: float) -> tuple[Objects, int]:
        """Return the objects as they were, and the revision of that time."""
        until_s = _now_s() - age_s
        objects: Objects = {}
        revision = 1
        for write in self._writes:
            if write.written_s > until_s:
                break
            revision = write.revision
            objects.pop(write.key, None)
            if write.stored is not None:
                objects[write.key] = write.stored
        return objects, revision


def _now_s() -> float:
    """Return the time of the event loop, which may be simulated."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return time.monotonic()
