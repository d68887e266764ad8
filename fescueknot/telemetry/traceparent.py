"""The W3C ``traceparent`` header.

Source: W3C Recommendation "Trace Context", sections 3.2 and 4. Identifiers are
lower-case hexadecimal: 32 digits for a trace, 16 for a span.
"""

import random
import re

import msgspec

from fescueknot.telemetry.errors import TraceparentError

_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64
_SAMPLED_FLAG = 1
_PATTERN = re.compile(
    '(?P<version>(?!ff)[0-9a-f]{2})'
    '-(?P<trace_id>(?!0{32})[0-9a-f]{32})'
    '-(?P<span_id>(?!0{16})[0-9a-f]{16})'
    '-(?P<flags>[0-9a-f]{2})'
    '(?P<rest>-.*)?'
)
_VERSION = '00'


class TraceContext(msgspec.Struct, frozen=True, kw_only=True):
    """Trace id and id of the calling span."""

    trace_id: str
    span_id: str
    sampled: bool = True

    def __str__(self) -> str:
        """Return the value of the ``traceparent`` header."""
        flags = int(self.sampled)
        return f'{_VERSION}-{self.trace_id}-{self.span_id}-{flags:02x}'


def parse(header: str) -> TraceContext:
    """Return the trace context of ``header``.

    Raise :class:`TraceparentError` for an invalid header; the receiver must
    then start a new trace.
    """
    match = _PATTERN.fullmatch(header.strip())
    if match is None:
        raise TraceparentError(f'invalid traceparent: {header[:80]!r}')
    if match['version'] == _VERSION and match['rest']:
        raise TraceparentError('traceparent of version 00 has extra fields')
    return TraceContext(
        trace_id=match['trace_id'],
        span_id=match['span_id'],
        sampled=bool(int(match['flags'], 16) & _SAMPLED_FLAG),
    )


def start_trace(rng: random.Random) -> TraceContext:
    """Return the context of a new trace."""
    trace_id = f'{_nonzero(rng, _TRACE_ID_BITS):032x}'
    return TraceContext(trace_id=trace_id, span_id=new_span_id(rng))


def child(parent: TraceContext, rng: random.Random) -> TraceContext:
    """Return the context of a new child span of ``parent``."""
    return TraceContext(
        trace_id=parent.trace_id,
        span_id=new_span_id(rng),
        sampled=parent.sampled,
    )


def new_span_id(rng: random.Random) -> str:
    """Return a random span id."""
    return f'{_nonzero(rng, _SPAN_ID_BITS):016x}'


def _nonzero(rng: random.Random, bits: int) -> int:
    return rng.getrandbits(bits) or 1
