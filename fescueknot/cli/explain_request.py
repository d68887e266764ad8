"""Subcommand ``explain-request``: the life of one request, from logs."""

import json
import pathlib
from collections.abc import Sequence

import msgspec

from fescueknot.cli.command import Command
from fescueknot.cli.errors import (
    BadInputError,
    CommandFailedError,
    ExitCode,
)
from fescueknot.telemetry.request_history import RequestHistory, RequestOutcome
from fescueknot.telemetry.request_log import DroppedLines, LogLine, RequestLog

_INDENT = '  '
_MOST_LOGS = 100_000
_LOOK_IT_UP = frozenset((RequestOutcome.FAILED, RequestOutcome.UNKNOWN))


class ExplainRequest(Command):
    """Reads the logs of any number of nodes."""

    arguments_help = 'ID LOG...'
    arguments_min = 2
    arguments_max = _MOST_LOGS
    description = (
        'Prints what nodes decided about one request and the calls that it '
        'led to, in order of cause, the line that decided how it ended, and '
        'whether it went through. '
        'LOG is what a node, or a collector of many, wrote; ID is the id of '
        "the caller's attempt."
    )

    def define_flags(self) -> None:
        """Add the format."""
        super().define_flags()
        self.define_json()

    def run(self, arguments: Sequence[str]) -> int:
        """Read the logs and print the story."""
        request_id, *paths = arguments
        request_log = _read(request_id, paths)
        story = RequestHistory(request_id=request_id, lines=request_log.lines)
        if not story.steps():
            dropped = sum(gap.lines for gap in request_log.dropped_lines())
            raise CommandFailedError(
                f'no line about {request_id}: other nodes took it, or its '
                f'lines were dropped; log.dropped counts {dropped} lines'
            )
        show = _show_json if self.flags.json else _show_text
        show(story, request_log.dropped_lines())
        return ExitCode.OK


def _read(request_id: str, paths: Sequence[str]) -> RequestLog:
    request_log = RequestLog(request_id=request_id)
    for path in paths:
        try:
            with pathlib.Path(path).open(errors='replace') as log:
                request_log.read(log)
        except OSError as error:
            raise BadInputError(f'{path}: {error.strerror}') from error
    return request_log


def _show_text(story: RequestHistory, gaps: tuple[DroppedLines, ...]) -> None:
    for step in story.steps():
        print(_INDENT * step.depth + _sentence(step.decision))
    for gap in gaps:
        print(
            f'dropped at that time: {gap.lines} lines of {gap.event} '
            f'at {gap.nodes} nodes'
        )
    deciding = story.deciding_line()
    if deciding is not None:
        print(f'decided by: {_sentence(deciding)}')
    print(f'outcome: {story.outcome()}{_whom_to_ask(story)}')


def _whom_to_ask(story: RequestHistory) -> str:
    """Return where to look when the lines don't tell, else nothing."""
    if story.outcome() not in _LOOK_IT_UP:
        return ''
    instance = story.last_sent_to()
    if instance:
        return f'; look at the books of {instance}'
    return (
        '; no line of a gate: look for log.dropped and at the books of the '
        'service'
    )


def _show_json(story: RequestHistory, gaps: tuple[DroppedLines, ...]) -> None:
    document = {
        'steps': msgspec.to_builtins(story.steps()),
        'dropped': msgspec.to_builtins(gaps),
        'decided_by': msgspec.to_builtins(story.deciding_line()),
        'outcome': story.outcome().name.lower(),
        'last_sent_to': story.last_sent_to(),
    }
    print(json.dumps(document, indent=2))


def _sentence(decision: LogLine) -> str:
    details = ' '.join(
        f'{name}={found}'
        for name, found in decision.details.items()
        if found not in ('', None)
    )
    return f'{decision.node} {decision.event} {details}'
