"""The life of one request, put together from the lines of many nodes.

Clocks of nodes differ, so the order is that of cause: a call is asked of
targets one after the other; what a target's own calls met comes before its
answer, and its answer before that of the call.
"""

import enum
from collections.abc import Iterable, Iterator

import msgspec

from fescueknot.telemetry.request_log import (
    ANSWERED,
    FIRST_FAILURE_STATUS,
    GATE_REFUSED_EVENT,
    ID_SEPARATOR,
    NOT_RUN,
    SENT_EVENT,
    SHED_EVENT,
    LogLine,
)

_ENDED = frozenset(('call.ended', 'call.abandoned', SHED_EVENT))
_AT_GATE = frozenset((SENT_EVENT, GATE_REFUSED_EVENT))
_REPLY = 'call.reply'
_MAY_HAVE_RUN = 'may have run'


class RequestOutcome(enum.StrEnum):
    """Whether the work of a request was done, as far as the lines tell."""

    ANSWERED = 'it ran and its caller was answered'
    FAILED = 'its target answered with a failure; part of it may have run'
    ANSWER_LOST = 'it ran; the caller did not get the answer'
    NOT_RUN = 'it has not run and will not'
    UNKNOWN = 'not known: it may have run'


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A decision and how many calls deep it was taken."""

    depth: int
    decision: LogLine


class RequestHistory:
    """All decisions about one request and the calls that it led to."""

    def __init__(self, *, request_id: str, lines: Iterable[LogLine]) -> None:
        self._request_id = request_id
        self._by_id: dict[str, list[LogLine]] = {}
        for decision in lines:
            self._by_id.setdefault(decision.request_id, []).append(decision)

    def steps(self) -> tuple[Step, ...]:
        """Return the decisions in order of cause; none for an unknown id."""
        return tuple(self._steps(self._request_id, 0))

    def deciding_line(self) -> LogLine | None:
        """Return the line that decided how the request ended.

        Of a request whose outcome is unknown it is the lost answer, of any
        other that failed the last failure on the deepest call that failed; of
        one that was served its end.
        """
        return self._deciding_line(self._request_id)

    def outcome(self) -> RequestOutcome:
        """Tell whether the request went through.

        The word of the caller's node goes first; where it knew of no answer,
        the gate beside the target may have seen one.
        """
        lines = self._by_id.get(self._request_id, [])
        end = _end(lines)
        if end is not None and end.outcome == NOT_RUN:
            return RequestOutcome.NOT_RUN
        if end is not None and end.outcome == ANSWERED:
            return (
                RequestOutcome.FAILED
                if _went_wrong(end)
                else RequestOutcome.ANSWERED
            )
        if any(line.event == SENT_EVENT and line.succeeded for line in lines):
            return RequestOutcome.ANSWER_LOST
        declined = {line.instance for line in lines if line.declined}
        if end is not None and len(declined) == end.details.get('asked'):
            return RequestOutcome.NOT_RUN
        return RequestOutcome.UNKNOWN

    def last_sent_to(self) -> str:
        """Return the target that last got the request, empty if unknown."""
        sent = [
            line.instance
            for line in _in_order(self._by_id.get(self._request_id, []))
            if line.event == SENT_EVENT
        ]
        return sent[-1] if sent else ''

    def _deciding_line(self, request_id: str) -> LogLine | None:
        lines = self._by_id.get(request_id, [])
        end = _end(lines)
        if end is not None and not _went_wrong(end):
            return end
        failures = [
            line
            for line in _in_order(lines)
            if line.failed and line.event not in _ENDED
        ]
        lost = [line for line in failures if line.lost]
        if lost and end is not None and not end.refused:
            return lost[-1]
        if end is not None and end.outcome == _MAY_HAVE_RUN:
            return end
        last = failures[-1] if failures else end
        if last is None or last.details.get('ending') != ANSWERED:
            return last
        inner = [
            self._deciding_line(call)
            for call in self._calls_of(request_id)
            if any(line.failed for line in self._by_id[call])
        ]
        return inner[-1] if inner else last

    def _steps(self, request_id: str, depth: int) -> Iterator[Step]:
        lines = self._by_id.get(request_id, [])
        nodes_with_calls = self._nodes_of_calls(request_id)
        for line in _in_order(lines):
            if line.event in _AT_GATE and line.node in nodes_with_calls:
                for call in nodes_with_calls.pop(line.node):
                    yield from self._steps(call, depth + 1)
            yield Step(depth=depth, decision=line)
        # Lines of the gate may have been dropped under load.
        for calls in nodes_with_calls.values():
            for call in calls:
                yield from self._steps(call, depth + 1)

    def _nodes_of_calls(self, request_id: str) -> dict[str, list[str]]:
        """Return the calls that a request led to, by the node they left."""
        by_node: dict[str, list[str]] = {}
        for call in self._calls_of(request_id):
            end = _end(self._by_id[call])
            node = end.node if end else ''
            by_node.setdefault(node, []).append(call)
        return by_node

    def _calls_of(self, request_id: str) -> list[str]:
        """Return the ids one level below, in the order of their end."""
        inner = request_id + ID_SEPARATOR
        calls = [
            found
            for found in self._by_id
            if found.startswith(inner)
            and ID_SEPARATOR not in found[len(inner) :]
        ]
        return sorted(
            calls, key=lambda call: max(one.time_s for one in self._by_id[call])
        )


def _end(lines: list[LogLine]) -> LogLine | None:
    return next((line for line in lines if line.event in _ENDED), None)


def _went_wrong(end: LogLine) -> bool:
    return end.details.get('status', 0) >= FIRST_FAILURE_STATUS


def _in_order(lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of one call in order of cause.

    Targets are asked one after the other, each once, as the replies on the
    caller's clock tell; a gate's line comes before the reply, and a call that
    got no reply before the end.
    """
    replies = sorted(
        (line for line in lines if line.event == _REPLY),
        key=lambda line: line.time_s,
    )
    asked = {line.instance: turn for turn, line in enumerate(replies)}
    return sorted(
        lines,
        key=lambda line: (
            line.event in _ENDED,
            asked.get(line.instance, len(asked)),
            line.event == _REPLY,
        ),
    )
