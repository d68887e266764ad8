"""Subcommand ``replay``: replays a recorded trace and checks outcomes."""

import pathlib
from collections.abc import Sequence

from absl import flags

from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, ExitCode
from fescueknot.replay.errors import TraceError
from fescueknot.replay.events import Trace
from fescueknot.replay.expectations import (
    Expectations,
    deviations,
    parse_expectations,
)
from fescueknot.replay.outcomes import RunOutcome
from fescueknot.replay.replayer import Replayer
from fescueknot.replay.trace import parse_trace


class Replay(Command):
    """Replays a recorded trace."""

    arguments_help = 'TRACE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Runs the decision code of the nodes over a recorded trace in virtual '
        'time, prints the outcomes and compares them with the expected '
        'outcomes in --expect. Contacts no node and changes nothing.'
    )

    def define_flags(self) -> None:
        """Define the flags for expected outcomes and for output."""
        super().define_flags()
        flags.DEFINE_string(
            'expect',
            default='',
            help='JSON file with the expected outcomes.',
            flag_values=self.flags,
        )
        flags.DEFINE_boolean(
            'requests',
            default=False,
            help='Print a line for each request.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Replay the trace, print and compare its outcomes."""
        trace, expected = self._read_inputs(arguments[0])
        result = Replayer(trace=trace).run()
        self._print_result(result)
        if expected is None:
            return ExitCode.OK
        differences = deviations(expected, result)
        for line in differences:
            print(f'deviates: {line}')
        print('deviates' if differences else 'as stated')
        return ExitCode.FAILED if differences else ExitCode.OK

    def _read_inputs(self, path: str) -> tuple[Trace, Expectations | None]:
        try:
            return parse_trace(
                _read_text(path).splitlines()
            ), self._read_expectations()
        except TraceError as error:
            raise BadInputError(f'{error}') from error

    def _read_expectations(self) -> Expectations | None:
        if not self.flags.expect:
            return None
        return parse_expectations(_read_text(self.flags.expect))

    def _print_result(self, result: RunOutcome) -> None:
        if self.flags.requests:
            for request in result.requests:
                print(
                    f'{request.request_id} {request.verdict} '
                    f'{request.outcome.value} attempts={request.attempts} '
                    f'runs={request.runs} {request.text}'
                )
        for name, outcome in result.classes.items():
            print(
                f'{name}: {outcome.good} of {outcome.offered} '
                f'({outcome.good_percent:.1f}%)'
            )
        for breach in result.broken:
            print(f'broken: {breach.promise.value}: {breach.detail}')


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise BadInputError(f'{path}: {error}') from error
