"""Extraction of the lines about one request from the logs of many nodes."""

import collections
from collections.abc import Iterable
from typing import Any

import msgspec

from fescueknot.decoding import DECODE_ERRORS

DROPPED_EVENT = 'log.dropped'
SHED_EVENT = 'call.shed'
SENT_EVENT = 'gate.sent'
GATE_REFUSED_EVENT = 'gate.refused'
ANSWERED = 'answered'
# The id of a call is the id of the run that made it, a dot and a suffix.
ID_SEPARATOR = '.'
NOT_RUN = 'not run'
MIN_FAILURE_STATUS = 500
_REFUSAL_STATUS = 503
# Endings at a gate after which the target has certainly not run the call.
_NOT_RUN_ENDINGS = frozenset(('refused', 'turned away'))
_COMMON_FIELDS = frozenset(('time_s', 'node', 'event', 'id'))
# Lines dropped this long before or after a request may belong to it.
_DROP_WINDOW_S = 2.0


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a node's log about one request."""

    time_s: float
    node: str
    event: str
    request_id: str
    details: dict[str, Any]

    @property
    def instance(self) -> str:
        """Return the target named by the line, empty if none is named."""
        return self.details.get('instance', '')

    @property
    def outcome_unknown(self) -> bool:
        """Return whether the call ended with an unknown outcome."""
        return self.details.get('ending') == 'unknown'

    @property
    def target_not_run(self) -> bool:
        """Return whether a gate reports that its target didn't run the call."""
        not_run_ending = (
            self.event == SENT_EVENT
            and self.details.get('ending') in _NOT_RUN_ENDINGS
        )
        return not_run_ending or self.event == GATE_REFUSED_EVENT

    @property
    def outcome(self) -> str:
        """Return the outcome logged when the call ended, empty if none."""
        if self.event == SHED_EVENT:
            return NOT_RUN
        return self.details.get('outcome', '')

    @property
    def succeeded(self) -> bool:
        """Return whether the line reports an answer that is not a failure."""
        return (
            self.details.get('ending') == ANSWERED
            and 0 < self.details.get('status', 0) < MIN_FAILURE_STATUS
        )

    @property
    def refused(self) -> bool:
        """Return whether the caller got 503, which states that nothing ran."""
        return self.details.get('status') == _REFUSAL_STATUS

    @property
    def failed(self) -> bool:
        """Return whether the line reports a failed call or a failure answer."""
        if self.event == GATE_REFUSED_EVENT:
            return True
        if self.details.get('ending', ANSWERED) != ANSWERED:
            return True
        return self.details.get('status', 0) >= MIN_FAILURE_STATUS


class DroppedLines(msgspec.Struct, frozen=True, kw_only=True):
    """Number of dropped lines of an event and of nodes that dropped them."""

    event: str
    lines: int
    nodes: int


class _DropReport(msgspec.Struct, frozen=True, kw_only=True):
    time_s: float
    node: str
    lines: dict[str, int]


class RequestLog:
    """Lines about one request and its downstream calls.

    Text before the first brace of a line, such as the timestamp of a log
    collector, is ignored. Lines without the request's id are not decoded.
    """

    def __init__(self, *, request_id: str) -> None:
        self.lines: list[LogLine] = []
        self._request_id = request_id
        self._drop_reports: list[_DropReport] = []

    def read(self, lines: Iterable[str]) -> None:
        """Add the matching lines of a log."""
        for line in lines:
            if DROPPED_EVENT in line:
                self._add_drop_report(line)
            elif self._request_id in line:
                self._add_line(line)

    def dropped_lines(self) -> tuple[DroppedLines, ...]:
        """Return the lines that nodes dropped at the time of the request."""
        counts: collections.Counter[str] = collections.Counter()
        nodes: dict[str, set[str]] = {}
        for report in filter(self._is_near, self._drop_reports):
            counts.update(report.lines)
            for dropped_event in report.lines:
                nodes.setdefault(dropped_event, set()).add(report.node)
        return tuple(
            DroppedLines(
                event=event, lines=counts[event], nodes=len(nodes[event])
            )
            for event in sorted(counts)
        )

    def _add_line(self, line: str) -> None:
        fields = decode_line(line)
        if not fields.keys() >= _COMMON_FIELDS:
            return
        request_id = str(fields['id'])
        is_downstream = request_id.startswith(self._request_id + ID_SEPARATOR)
        if request_id != self._request_id and not is_downstream:
            return
        self.lines.append(
            LogLine(
                time_s=fields['time_s'],
                node=fields['node'],
                event=fields['event'],
                request_id=request_id,
                details={
                    name: value
                    for name, value in fields.items()
                    if name not in _COMMON_FIELDS
                },
            )
        )

    def _add_drop_report(self, line: str) -> None:
        try:
            self._drop_reports.append(
                msgspec.convert(decode_line(line), _DropReport)
            )
        except msgspec.ValidationError:
            # A line of another event that contains the event's name.
            return

    def _is_near(self, report: _DropReport) -> bool:
        if not self.lines:
            return True
        times_s = [line.time_s for line in self.lines]
        start_s = min(times_s) - _DROP_WINDOW_S
        return start_s <= report.time_s <= max(times_s) + _DROP_WINDOW_S


def decode_line(line: str) -> dict[str, Any]:
    """Return the fields of a line, empty if it is not a JSON object."""
    _, brace, rest = line.partition('{')
    try:
        fields = msgspec.json.decode((brace + rest).strip())
    except DECODE_ERRORS:
        return {}
    return fields if isinstance(fields, dict) else {}
