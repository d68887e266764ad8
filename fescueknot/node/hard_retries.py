"""Keys that come back before they were told to.

A client that repeats a refused key at once would count as new demand each
time, and push its own class below the admission level. It is answered here,
without admission, until the time that it was told.
"""

import threading

from fescueknot.idempotency.verdicts import RunToken
from fescueknot.node import refusals
from fescueknot.node.runtime import Runtime
from fescueknot.node.verdicts import VerdictKind
from fescueknot.retries.hard import HardRetryFilter, Repeated

_REFUSED = frozenset((VerdictKind.REFUSED, VerdictKind.SHED))


class HardRetries:
    """Remembers refused keys at their owner; thread-safe.

    The owner's ledger has no entry for a refused key, so "not run" is true of
    all attempts with it.
    """

    def __init__(self, *, runtime: Runtime) -> None:
        self._runtime = runtime
        self._filter = HardRetryFilter()
        self._lock = threading.Lock()

    def refuse_early(self, token: RunToken) -> refusals.CallEnd | None:
        """Return the refusal of a key that came back too early."""
        now_s = self._runtime.now_s()
        with self._lock:
            seen = self._filter.check(token.digest.hex(), now_s, now_s)
        if isinstance(seen, Repeated):
            return refusals.too_early(seen.retry_after_s)
        return None

    def record(self, token: RunToken, end: refusals.CallEnd) -> None:
        """Remember how the run of a key ended."""
        key = token.digest.hex()
        with self._lock:
            if end.kind in _REFUSED:
                now_s = self._runtime.now_s()
                self._filter.refused(key, end.retry_after_s, now_s)
            else:
                self._filter.answered(key)
