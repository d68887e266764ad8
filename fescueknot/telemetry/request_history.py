"""History of one request, assembled from the log lines of many nodes.

Clocks of nodes differ, so lines are in causal order and not in order of time:
a call is sent to one target after the other; the downstream calls of a target
precede its answer, and its answer precedes the answer to the call.
"""

import enum
from collections.abc import Iterable, Iterator

import msgspec

from fescueknot.telemetry.request_log import (
    ANSWERED,
    GATE_REFUSED_EVENT,
    ID_SEPARATOR,
    MIN_FAILURE_STATUS,
    NOT_RUN,
    SENT_EVENT,
    SHED_EVENT,
    LogLine,
)

_END_EVENTS = frozenset(('call.ended', 'call.abandoned', SHED_EVENT))
_GATE_EVENTS = frozenset((SENT_EVENT, GATE_REFUSED_EVENT))
_REPLY_EVENT = 'call.reply'
_MAY_HAVE_RUN = 'may have run'


class RequestOutcome(enum.StrEnum):
    """Whether a request ran and was answered, as derived from its lines."""

    ANSWERED = 'it ran and its caller was answered'
    FAILED = 'its target answered with a failure; part of it may have run'
    ANSWER_LOST = 'it ran; the caller did not get the answer'
    NOT_RUN = 'it has not run and will not'
    UNKNOWN = 'not known: it may have run'


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A line and its depth in the call tree, 0 for the request itself."""

    depth: int
    decision: LogLine


class RequestHistory:
    """Log lines about one request and its downstream calls."""

    def __init__(self, *, request_id: str, lines: Iterable[LogLine]) -> None:
        self._request_id = request_id
        self._lines_by_id: dict[str, list[LogLine]] = {}
        for line in lines:
            self._lines_by_id.setdefault(line.request_id, []).append(line)

    def steps(self) -> tuple[Step, ...]:
        """Return the lines in causal order, empty for an unknown id."""
        return tuple(self._steps(self._request_id, 0))

    def deciding_line(self) -> LogLine | None:
        """Return the line that decided how the request ended.

        For a served request this is its end line. For a request with an
        unknown outcome it is the line of the lost answer, or the end line if
        no line reports a lost answer. For any other failed request it is the
        last failure of the deepest failed call.
        """
        return self._deciding_line(self._request_id)

    def outcome(self) -> RequestOutcome:
        """Return whether the request ran and was answered.

        The lines of the caller's node take precedence. If they report no
        answer, the gate beside the target may have logged one.
        """
        lines = self._lines_by_id.get(self._request_id, [])
        end = _end_line(lines)
        if end is not None and end.outcome == NOT_RUN:
            return RequestOutcome.NOT_RUN
        if end is not None and end.outcome == ANSWERED:
            return (
                RequestOutcome.FAILED
                if _has_failure_status(end)
                else RequestOutcome.ANSWERED
            )
        if any(line.event == SENT_EVENT and line.succeeded for line in lines):
            return RequestOutcome.ANSWER_LOST
        not_run_at = {line.instance for line in lines if line.target_not_run}
        if end is not None and len(not_run_at) == end.details.get('asked'):
            return RequestOutcome.NOT_RUN
        return RequestOutcome.UNKNOWN

    def last_sent_to(self) -> str:
        """Return the last target the request was sent to, empty if unknown."""
        sent = [
            line.instance
            for line in _in_causal_order(
                self._lines_by_id.get(self._request_id, [])
            )
            if line.event == SENT_EVENT
        ]
        return sent[-1] if sent else ''

    def _deciding_line(self, request_id: str) -> LogLine | None:
        lines = self._lines_by_id.get(request_id, [])
        end = _end_line(lines)
        if end is not None and not _has_failure_status(end):
            return end
        failures = [
            line
            for line in _in_causal_order(lines)
            if line.failed and line.event not in _END_EVENTS
        ]
        unknown = [line for line in failures if line.outcome_unknown]
        if unknown and end is not None and not end.refused:
            return unknown[-1]
        if end is not None and end.outcome == _MAY_HAVE_RUN:
            return end
        last = failures[-1] if failures else end
        if last is None or last.details.get('ending') != ANSWERED:
            return last
        deciding_lines = [
            self._deciding_line(call)
            for call in self._downstream_calls(request_id)
            if any(line.failed for line in self._lines_by_id[call])
        ]
        return deciding_lines[-1] if deciding_lines else last

    def _steps(self, request_id: str, depth: int) -> Iterator[Step]:
        lines = self._lines_by_id.get(request_id, [])
        calls_by_node = self._downstream_calls_by_node(request_id)
        for line in _in_causal_order(lines):
            if line.event in _GATE_EVENTS and line.node in calls_by_node:
                for call in calls_by_node.pop(line.node):
                    yield from self._steps(call, depth + 1)
            yield Step(depth=depth, decision=line)
        # Calls whose gate line is missing: it may have been dropped under load.
        for calls in calls_by_node.values():
            for call in calls:
                yield from self._steps(call, depth + 1)

    def _downstream_calls_by_node(
        self, request_id: str
    ) -> dict[str, list[str]]:
        """Return the ids of downstream calls by the node that sent them."""
        calls_by_node: dict[str, list[str]] = {}
        for call in self._downstream_calls(request_id):
            end = _end_line(self._lines_by_id[call])
            node = end.node if end else ''
            calls_by_node.setdefault(node, []).append(call)
        return calls_by_node

    def _downstream_calls(self, request_id: str) -> list[str]:
        """Return the ids of direct downstream calls, ordered by their end."""
        prefix = request_id + ID_SEPARATOR
        calls = [
            call_id
            for call_id in self._lines_by_id
            if call_id.startswith(prefix)
            and ID_SEPARATOR not in call_id[len(prefix) :]
        ]
        return sorted(
            calls,
            key=lambda call: max(
                line.time_s for line in self._lines_by_id[call]
            ),
        )


def _end_line(lines: list[LogLine]) -> LogLine | None:
    return next((line for line in lines if line.event in _END_EVENTS), None)


def _has_failure_status(end: LogLine) -> bool:
    return end.details.get('status', 0) >= MIN_FAILURE_STATUS


def _in_causal_order(lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of one call in causal order.

    A call is sent to one target after the other, to each once; the replies,
    ordered by the clock of the caller's node, give the order of the targets.
    The line of a gate precedes the reply of its target. Lines of targets
    without a reply follow those with one and precede the end line.
    """
    replies = sorted(
        (line for line in lines if line.event == _REPLY_EVENT),
        key=lambda line: line.time_s,
    )
    reply_order = {
        line.instance: position for position, line in enumerate(replies)
    }
    return sorted(
        lines,
        key=lambda line: (
            line.event in _END_EVENTS,
            reply_order.get(line.instance, len(reply_order)),
            line.event == _REPLY_EVENT,
        ),
    )
