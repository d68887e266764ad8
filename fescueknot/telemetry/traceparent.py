"""The W3C ``traceparent`` header.

Source: W3C Recommendation "Trace Context", sections 3.2 and 4. Identifiers are
lower-case hex: 32 digits for a trace, 16 for a span.
"""

import random
import re

import msgspec

from fescueknot.telemetry.errors import TraceparentError

_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64
_SAMPLED = 1
_FORM = re.compile(
    '(?P<version>(?!ff)[0-9a-f]{2})'
    '-(?P<trace_id>(?!0{32})[0-9a-f]{32})'
    '-(?P<span_id>(?!0{16})[0-9a-f]{16})'
    '-(?P<flags>[0-9a-f]{2})'
    '(?P<rest>-.*)?'
)
_VERSION = '00'


class TraceContext(msgspec.Struct, frozen=True, kw_only=True):
    """Position in a trace: the trace and the span that calls."""

    trace_id: str
    span_id: str
    sampled: bool = True

    def __str__(self) -> str:
        """Return the header's value."""
        flags = int(self.sampled)
        return f'{_VERSION}-{self.trace_id}-{self.span_id}-{flags:02x}'


def parse(header: str) -> TraceContext:
    """Return the position that ``header`` states.

    Raise :class:`TraceparentError` when a sender must start a new trace.
    """
    match = _FORM.fullmatch(header.strip())
    if match is None:
        raise TraceparentError(f'not a traceparent: {header[:80]!r}')
    if match['version'] == _VERSION and match['rest']:
        raise TraceparentError('traceparent of version 00 is too long')
    return TraceContext(
        trace_id=match['trace_id'],
        span_id=match['span_id'],
        sampled=bool(int(match['flags'], 16) & _SAMPLED),
    )


def start_trace(source: random.Random) -> TraceContext:
    """Return the first position of a new trace."""
    trace_id = f'{_nonzero(source, _TRACE_ID_BITS):032x}'
    return TraceContext(trace_id=trace_id, span_id=new_span_id(source))


def child(parent: TraceContext, source: random.Random) -> TraceContext:
    """Return the position of a new span below ``parent``."""
    return TraceContext(
        trace_id=parent.trace_id,
        span_id=new_span_id(source),
        sampled=parent.sampled,
    )


def new_span_id(source: random.Random) -> str:
    """Return an identifier for a span."""
    return f'{_nonzero(source, _SPAN_ID_BITS):016x}'


def _nonzero(source: random.Random, bits: int) -> int:
    return source.getrandbits(bits) or 1
