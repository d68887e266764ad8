"""Calls that the local target is working on.

A target that calls another service passes on ``traceparent``. Its node finds
the parent call by the span id that it had given to the target.
"""

import threading

import msgspec

from fescueknot.calls import CallContext
from fescueknot.retries.allotment import AllotmentShare, RetryAllotment

# A parent keeps half of its extra attempts for the calls that follow.
_CALLS_TO_COME = 2


class TimeBelow(msgspec.Struct, kw_only=True):
    """Seconds that the target waited for calls that it made itself."""

    spent_s: float = 0


class ParentCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call in progress at the local target.

    ``deadline_s`` is on the node's monotonic clock. ``allotment`` holds the
    extra attempts that the calls below may still spend.
    """

    context: CallContext
    span_id: str
    deadline_s: float
    allotment: RetryAllotment
    below: TimeBelow


class ParentCalls:
    """The parents by span id; bounded by the calls in progress."""

    def __init__(self) -> None:
        self._parents: dict[str, ParentCall] = {}
        self._lock = threading.Lock()

    def begin(self, parent: ParentCall) -> None:
        """Remember a call that is handed to the target."""
        with self._lock:
            self._parents[parent.span_id] = parent

    def end(self, span_id: str) -> ParentCall | None:
        """Forget a call and return it, or None when it is unknown."""
        with self._lock:
            return self._parents.pop(span_id, None)

    def find(self, span_id: str) -> ParentCall | None:
        """Return the parent with that span id, if it is in progress."""
        with self._lock:
            return self._parents.get(span_id)

    def lend(self, span_id: str) -> AllotmentShare:
        """Take a share of the parent's extra attempts."""
        with self._lock:
            parent = self._parents.get(span_id)
            if parent is None:
                return AllotmentShare(attempts=0)
            return parent.allotment.lend(_CALLS_TO_COME)

    def child_done(
        self,
        span_id: str,
        unspent: AllotmentShare,
        spent_s: float,
    ) -> None:
        """Note the end of a call that a parent in progress has made."""
        with self._lock:
            parent = self._parents.get(span_id)
            if parent is not None:
                parent.allotment.give_back(unspent)
                parent.below.spent_s += spent_s
