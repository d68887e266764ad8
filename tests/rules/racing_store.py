"""A store that lets tests act between a read and the following write."""

from collections.abc import Callable

from fescueknot.objectapi.faults import FaultyStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.messages import Listing


class RacingStore(FaultyStore):
    """Calls ``before_write`` once, after the next listing."""

    def __init__(self, *, inner: MemoryStore) -> None:
        super().__init__(inner=inner, sleep=lambda _delay_s: None)
        self.before_write: Callable[[], object] | None = None

    def list(self, prefix: str) -> Listing:
        listing = super().list(prefix)
        if self.before_write is not None:
            callback = self.before_write
            self.before_write = None
            callback()
        return listing
