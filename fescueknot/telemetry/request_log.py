"""The lines about one request among the logs of many nodes."""

import collections
from collections.abc import Iterable
from typing import Any

import msgspec

DROPPED_EVENT = 'log.dropped'
SHED_EVENT = 'call.shed'
SENT_EVENT = 'gate.sent'
GATE_REFUSED_EVENT = 'gate.refused'
ANSWERED = 'answered'
# The id of a call begins with that of the run that made it, and a dot.
ID_SEPARATOR = '.'
NOT_RUN = 'not run'
FIRST_FAILURE_STATUS = 500
_REFUSAL_STATUS = 503
# Endings at a gate that promise that the target did no work.
_UNSENT = frozenset(('refused', 'turned away'))
_HEAD_FIELDS = frozenset(('time_s', 'node', 'event', 'id'))
# Lines that a node dropped that long before or after a request may be its.
_GAP_S = 2.0


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a node's log about one request."""

    time_s: float
    node: str
    event: str
    request_id: str
    details: dict[str, Any]

    @property
    def instance(self) -> str:
        """Return the target that the line speaks of, empty for none."""
        return self.details.get('instance', '')

    @property
    def lost(self) -> bool:
        """Tell whether nobody knows what became of the call."""
        return self.details.get('ending') == 'unknown'

    @property
    def declined(self) -> bool:
        """Tell whether a gate knows that its target did no work."""
        unsent = (
            self.event == SENT_EVENT and self.details.get('ending') in _UNSENT
        )
        return unsent or self.event == GATE_REFUSED_EVENT

    @property
    def outcome(self) -> str:
        """Return what was known of the work at the end, empty for nothing."""
        if self.event == SHED_EVENT:
            return NOT_RUN
        return self.details.get('outcome', '')

    @property
    def succeeded(self) -> bool:
        """Tell whether the line is of an answer that is no failure."""
        return (
            self.details.get('ending') == ANSWERED
            and 0 < self.details.get('status', 0) < FIRST_FAILURE_STATUS
        )

    @property
    def refused(self) -> bool:
        """Tell whether the caller was promised that nothing has run."""
        return self.details.get('status') == _REFUSAL_STATUS

    @property
    def failed(self) -> bool:
        """Tell whether the line is of a call or answer that went wrong."""
        if self.event == GATE_REFUSED_EVENT:
            return True
        if self.details.get('ending', ANSWERED) != ANSWERED:
            return True
        return self.details.get('status', 0) >= FIRST_FAILURE_STATUS


class DroppedLines(msgspec.Struct, frozen=True, kw_only=True):
    """How many lines of an event some nodes have dropped."""

    event: str
    lines: int
    nodes: int


class _Drop(msgspec.Struct, frozen=True, kw_only=True):
    time_s: float
    node: str
    lines: dict[str, int]


class RequestLog:
    """Keeps what logs have about one request and the calls it led to.

    Whatever stands before the first brace of a line, such as a collector's
    stamp, is cut off. Lines of other requests are not even decoded.
    """

    def __init__(self, *, request_id: str) -> None:
        self.lines: list[LogLine] = []
        self._request_id = request_id
        self._drops: list[_Drop] = []

    def read(self, lines: Iterable[str]) -> None:
        """Take the lines of a log."""
        for line in lines:
            if DROPPED_EVENT in line:
                self._take_drop(line)
            elif self._request_id in line:
                self._take_decision(line)

    def dropped_lines(self) -> tuple[DroppedLines, ...]:
        """Return what nodes dropped at the time of the request."""
        lines: collections.Counter[str] = collections.Counter()
        nodes: dict[str, set[str]] = {}
        for drop in filter(self._is_near, self._drops):
            lines.update(drop.lines)
            for dropped in drop.lines:
                nodes.setdefault(dropped, set()).add(drop.node)
        return tuple(
            DroppedLines(
                event=event, lines=lines[event], nodes=len(nodes[event])
            )
            for event in sorted(lines)
        )

    def _take_decision(self, line: str) -> None:
        fields = decoded(line)
        if not fields.keys() >= _HEAD_FIELDS:
            return
        found = str(fields['id'])
        inner = found.startswith(self._request_id + ID_SEPARATOR)
        if found != self._request_id and not inner:
            return
        self.lines.append(
            LogLine(
                time_s=fields['time_s'],
                node=fields['node'],
                event=fields['event'],
                request_id=found,
                details={
                    name: found
                    for name, found in fields.items()
                    if name not in _HEAD_FIELDS
                },
            )
        )

    def _take_drop(self, line: str) -> None:
        try:
            self._drops.append(msgspec.convert(decoded(line), _Drop))
        except msgspec.ValidationError:
            # Some other line, with the same word in it.
            return

    def _is_near(self, drop: _Drop) -> bool:
        if not self.lines:
            return True
        times_s = [line.time_s for line in self.lines]
        first_s = min(times_s) - _GAP_S
        return first_s <= drop.time_s <= max(times_s) + _GAP_S


def decoded(line: str) -> dict[str, Any]:
    """Return the fields of a line, none if it is no line of a node."""
    _, brace, rest = line.partition('{')
    try:
        fields = msgspec.json.decode((brace + rest).strip())
    except (msgspec.DecodeError, UnicodeError):
        return {}
    return fields if isinstance(fields, dict) else {}
