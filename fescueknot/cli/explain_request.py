"""Subcommand ``explain-request``: what happened to a request, from logs."""

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
_MAX_LOGS = 100_000
_UNCERTAIN_OUTCOMES = frozenset((RequestOutcome.FAILED, RequestOutcome.UNKNOWN))


class ExplainRequest(Command):
    """Explains one request from the logs of any number of nodes."""

    arguments_help = 'ID LOG...'
    arguments_min = 2
    arguments_max = _MAX_LOGS
    description = (
        'Prints the decisions of nodes about one request and the calls that it '
        'caused, in causal order, then the log line that decided its outcome, '
        "and the outcome. ID is the id of the caller's attempt; LOG is a log "
        'file of a node or of a log collector.'
    )

    def define_flags(self) -> None:
        """Define the flag for the output format."""
        super().define_flags()
        self.define_json_flag()

    def run(self, arguments: Sequence[str]) -> int:
        """Read the logs and print the decisions and the outcome."""
        request_id, *paths = arguments
        request_log = _read(request_id, paths)
        history = RequestHistory(request_id=request_id, lines=request_log.lines)
        if not history.steps():
            dropped = sum(gap.lines for gap in request_log.dropped_lines())
            raise CommandFailedError(
                f'no log line about request {request_id}: other nodes handled '
                'it, or its lines were dropped; log.dropped counts '
                f'{dropped} lines'
            )
        show = _show_json if self.flags.json else _show_text
        show(history, request_log.dropped_lines())
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


def _show_text(
    history: RequestHistory, dropped_lines: tuple[DroppedLines, ...]
) -> None:
    for step in history.steps():
        print(_INDENT * step.depth + _line_text(step.decision))
    for dropped in dropped_lines:
        print(
            f'dropped at that time: {dropped.lines} lines of {dropped.event} '
            f'at {dropped.nodes} nodes'
        )
    deciding_line = history.deciding_line()
    if deciding_line is not None:
        print(f'decided by: {_line_text(deciding_line)}')
    print(f'outcome: {history.outcome()}{_where_to_look(history)}')


def _where_to_look(history: RequestHistory) -> str:
    """Return where to find an outcome that the log lines leave open.

    Empty if the log lines tell the outcome.
    """
    if history.outcome() not in _UNCERTAIN_OUTCOMES:
        return ''
    instance = history.last_sent_to()
    if instance:
        return f'; look at the books of {instance}'
    return (
        '; no line of a gate: look for log.dropped and at the books of the '
        'service'
    )


def _show_json(
    history: RequestHistory, dropped_lines: tuple[DroppedLines, ...]
) -> None:
    document = {
        'steps': msgspec.to_builtins(history.steps()),
        'dropped': msgspec.to_builtins(dropped_lines),
        'decided_by': msgspec.to_builtins(history.deciding_line()),
        'outcome': history.outcome().name.lower(),
        'last_sent_to': history.last_sent_to(),
    }
    print(json.dumps(document, indent=2))


def _line_text(line: LogLine) -> str:
    details = ' '.join(
        f'{name}={value}'
        for name, value in line.details.items()
        if value not in ('', None)
    )
    return f'{line.node} {line.event} {details}'
