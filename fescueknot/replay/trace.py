"""Reading of traces: JSON lines, the header first."""

from collections.abc import Iterable
from typing import Any

import msgspec

from fescueknot.replay.errors import TraceError
from fescueknot.replay.events import Event, Header, Trace

_HEADER = msgspec.json.Decoder(Header)
_EVENT = msgspec.json.Decoder(Event)


def parse_trace(lines: Iterable[str]) -> Trace:
    """Return the trace; raise :class:`TraceError` with the line number."""
    numbered = enumerate(lines, start=1)
    header_number, header = next(numbered, (0, ''))
    if not header:
        raise TraceError('the trace has no header')
    events = [_decode(_EVENT, number, line) for number, line in numbered]
    events.sort(key=lambda event: event.at_s)
    return Trace(
        header=_decode(_HEADER, header_number, header),
        events=tuple(events),
    )


def _decode(decoder: msgspec.json.Decoder, number: int, line: str) -> Any:
    try:
        return decoder.decode(line)
    except msgspec.DecodeError as error:
        raise TraceError(f'line {number}: {error}') from error
