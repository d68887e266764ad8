"""One request and its answer, as a caller sees them."""

import asyncio
import time

import msgspec

from tools.site_rig.records import Outcome


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller keeps of an answer."""

    status: int
    is_signed: bool = False
    retry_after_s: float = 0


class Exchange:
    """One request and its answer, as the caller sees them."""

    def __init__(self) -> None:
        self.began_s = float(0)
        self.sent_s = float(0)
        self.ended_s = float(0)
        self.outcome = Outcome.REFUSED
        self.answer = Answer(status=0)
        self.is_behind = False
        self.is_kept = False
        self.is_reset = False
        self._done = asyncio.get_running_loop().create_future()

    @property
    def is_done(self) -> bool:
        """Tell whether it has ended."""
        return self._done.done()

    async def wait(self, limit_s: float) -> None:
        """Wait for the end; raise :class:`TimeoutError`."""
        await asyncio.wait_for(asyncio.shield(self._done), limit_s)

    def end(self, outcome: Outcome, at_s: float = 0) -> None:
        """Note the end, once, and when it came if that was not now."""
        if self._done.done():
            return
        self.ended_s = at_s or time.monotonic()
        # One that ends before its last byte has left.
        self.sent_s = self.sent_s or self.ended_s
        self.outcome = outcome
        self._done.set_result(None)
