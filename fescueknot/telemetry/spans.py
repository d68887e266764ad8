"""Trace spans of the hops of a request.

Field names in JSON follow OTLP where OTLP defines the field (``traceId``,
``spanId``, ``parentSpanId``, ``name``), so that exporters need no mapping.
"""

import collections
import threading

import msgspec

from fescueknot.calls import Importance


class Span(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """One hop of one request.

    ``name`` is the kind of hop (``entry``, ``peer``, ``target``),
    ``decision`` the result of the check that decided the request, ``rule``
    and ``requested_by`` the rule that set the policy and who requested it,
    ``attempt`` the number of the attempt from 1, ``status`` the HTTP status.
    """

    trace_id: str
    span_id: str
    parent_span_id: str = ''
    name: str
    service: str
    instance: str
    importance: Importance
    decision: str
    rule: str = ''
    requested_by: str = ''
    queue_ms: float = 0
    attempt: int = 1
    start_wall_s: float
    duration_ms: float
    status: int


class SpanBuffer:
    """Ring buffer of the latest ``capacity`` spans of a node, thread-safe."""

    def __init__(self, *, capacity: int) -> None:
        self._lock = threading.Lock()
        self._spans: collections.deque[Span] = collections.deque(
            maxlen=capacity
        )

    def add(self, span: Span) -> None:
        """Add ``span``; when full, drop the oldest span."""
        with self._lock:
            self._spans.append(span)

    def of_trace(self, trace_id: str) -> tuple[Span, ...]:
        """Return the spans of one trace, oldest first."""
        return tuple(
            span for span in self.latest() if span.trace_id == trace_id
        )

    def latest(self) -> tuple[Span, ...]:
        """Return all buffered spans, oldest first."""
        with self._lock:
            return tuple(self._spans)
