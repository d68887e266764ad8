"""Calls in progress at the local target, parents of its downstream calls.

A target that calls another service passes on ``traceparent``. Its node finds
the parent call by the span id that it had sent to the target.
"""

import threading

import msgspec

from fescueknot.calls import CallContext
from fescueknot.retries.allotment import AllotmentShare, RetryAllotment

# A parent call keeps half of its extra attempts for later downstream calls.
_CALLS_TO_COME = 2


class DownstreamTime(msgspec.Struct, kw_only=True):
    """Seconds that the target has spent on downstream calls."""

    spent_s: float = 0


class ParentCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call in progress at the local target.

    ``deadline_s`` is on the node's monotonic clock. ``allotment`` holds the
    extra attempts that downstream calls may still spend.
    """

    context: CallContext
    span_id: str
    deadline_s: float
    allotment: RetryAllotment
    downstream: DownstreamTime


class ParentCalls:
    """Parent calls by span id; bounded by the calls in progress."""

    def __init__(self) -> None:
        self._parents: dict[str, ParentCall] = {}
        self._lock = threading.Lock()

    def begin(self, parent: ParentCall) -> None:
        """Record a call that is sent to the target."""
        with self._lock:
            self._parents[parent.span_id] = parent

    def end(self, span_id: str) -> ParentCall | None:
        """Remove a call and return it, or None when it is unknown."""
        with self._lock:
            return self._parents.pop(span_id, None)

    def find(self, span_id: str) -> ParentCall | None:
        """Return the call with that span id, if it is in progress."""
        with self._lock:
            return self._parents.get(span_id)

    def lend(self, span_id: str) -> AllotmentShare:
        """Lend a downstream call a share of the parent's extra attempts."""
        with self._lock:
            parent = self._parents.get(span_id)
            if parent is None:
                return AllotmentShare(attempts=0)
            return parent.allotment.lend(_CALLS_TO_COME)

    def end_child(
        self,
        span_id: str,
        unspent: AllotmentShare,
        spent_s: float,
    ) -> None:
        """Record the end of a downstream call, if its parent is in progress."""
        with self._lock:
            parent = self._parents.get(span_id)
            if parent is not None:
                parent.allotment.give_back(unspent)
                parent.downstream.spent_s += spent_s
