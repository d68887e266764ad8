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
from fescueknot.telemetry.request_lines import Decision, Gap, RequestLines
from fescueknot.telemetry.request_story import RequestStory, Verdict

_INDENT = '  '
_MAX_LOGS = 100_000
_UNCERTAIN_VERDICTS = frozenset((Verdict.FAILED, Verdict.UNKNOWN))


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
        lines = _read(request_id, paths)
        story = RequestStory(request_id=request_id, decisions=lines.decisions)
        if not story.steps():
            dropped = sum(gap.lines for gap in lines.gaps())
            raise CommandFailedError(
                f'no log line about request {request_id}: other nodes handled '
                'it, or its lines were dropped; log.dropped counts '
                f'{dropped} lines'
            )
        show = _show_json if self.flags.json else _show_text
        show(story, lines.gaps())
        return ExitCode.OK


def _read(request_id: str, paths: Sequence[str]) -> RequestLines:
    lines = RequestLines(request_id=request_id)
    for path in paths:
        try:
            with pathlib.Path(path).open(errors='replace') as log:
                lines.read(log)
        except OSError as error:
            raise BadInputError(f'{path}: {error.strerror}') from error
    return lines


def _show_text(story: RequestStory, gaps: tuple[Gap, ...]) -> None:
    for step in story.steps():
        print(_INDENT * step.depth + _decision_text(step.decision))
    for gap in gaps:
        print(
            f'dropped at that time: {gap.lines} lines of {gap.event} '
            f'at {gap.nodes} nodes'
        )
    deciding = story.deciding()
    if deciding is not None:
        print(f'decided by: {_decision_text(deciding)}')
    print(f'outcome: {story.verdict()}{_where_to_look(story)}')


def _where_to_look(story: RequestStory) -> str:
    """Return where to find an outcome that the log lines leave open.

    Empty if the log lines tell the outcome.
    """
    if story.verdict() not in _UNCERTAIN_VERDICTS:
        return ''
    instance = story.last_sent_to()
    if instance:
        return f'; look at the books of {instance}'
    return (
        '; no line of a gate: look for log.dropped and at the books of the '
        'service'
    )


def _show_json(story: RequestStory, gaps: tuple[Gap, ...]) -> None:
    document = {
        'steps': msgspec.to_builtins(story.steps()),
        'dropped': msgspec.to_builtins(gaps),
        'decided_by': msgspec.to_builtins(story.deciding()),
        'outcome': story.verdict().name.lower(),
        'last_sent_to': story.last_sent_to(),
    }
    print(json.dumps(document, indent=2))


def _decision_text(decision: Decision) -> str:
    details = ' '.join(
        f'{name}={value}'
        for name, value in decision.details.items()
        if value not in ('', None)
    )
    return f'{decision.node} {decision.event} {details}'
