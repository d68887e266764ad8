"""When the store answers, and when it takes writes."""

from fescueknot.replay.engine import Engine
from fescueknot.replay.events import StoreDown


class Outage:
    """The state of the store as the trace has it."""

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._latest: StoreDown | None = None

    def begin(self, event: StoreDown) -> None:
        """Take an outage."""
        self._latest = event

    def answers(self) -> bool:
        """Return whether the store answers now."""
        if self._latest is None:
            return True
        return self._engine.now_s >= self._latest.until_s

    def takes_writes(self) -> bool:
        """Return whether a write takes effect now, answered or not."""
        return self.answers() or self._latest.takes_writes
