"""Action ``routes check``."""

import json
from collections.abc import Iterator, Sequence

import msgspec
from absl import flags

from fescueknot.cli.command import Command
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.routes_file import inspect_configuration, read_configuration
from fescueknot.routes.changes import change_lines
from fescueknot.routes.checks import find_change_problems, find_problems
from fescueknot.routes.findings import Finding
from fescueknot.routes.messages import Configuration


class _Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the check; ``--json`` prints it.

    ``version`` is 0 if it can't be read. ``before`` is the earlier version and
    ``changes`` the differences from it. With ``unreadable`` fields there are
    no changes, and checks that need all entries are left out.
    """

    version: int
    before: int | None = None
    unreadable: tuple[Finding, ...] = ()
    findings: tuple[Finding, ...] = ()
    changes: tuple[str, ...] = ()

    def exit_code(self) -> ExitCode:
        """Return the exit code of the check."""
        if self.unreadable:
            return ExitCode.BAD_INPUT
        return ExitCode.FAILED if self.findings else ExitCode.OK

    def lines(self) -> Iterator[str]:
        """Yield the report for people."""
        for finding in (*self.unreadable, *self.findings):
            yield f'{finding.place}: {finding.problem}; fix: {finding.fix}'
        if self.unreadable:
            yield (
                'nodes reject this version; repeat the check when every field '
                'can be read, as some checks and the differences are left out'
            )
        if self.before is not None and not self.unreadable:
            yield f'version {self.before} to {self.version}'
            yield from self.changes
        if self.exit_code() is ExitCode.OK:
            yield f'version {self.version}: nothing odd'


class Check(Command):
    """Reports what is wrong or odd in a configuration before it is sent."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        "Reports, with place and fix: fields that nodes can't read; accounts "
        'that share a name or a key or have no key; routes that can never '
        'match or are defined twice; services that are missing or unused; '
        'parts of splits without weight; limits that contradict each other; '
        'routes that must land once below a prefix that may be repeated. With '
        '--before also a version that is not higher, limits of at most half, '
        'routes that now may be repeated, and all differences, which are no '
        'findings. Contacts no node. Exit code 0 if nothing was found, 1 if '
        "there are findings, 2 if a file or one of its fields can't be read."
    )

    def define_flags(self) -> None:
        """Define the flags for the earlier version and the output format."""
        super().define_flags()
        flags.DEFINE_string(
            'before',
            '',
            'File with the earlier version, such as the one in force.',
            flag_values=self.flags,
        )
        self.define_json_flag()

    def run(self, arguments: Sequence[str]) -> int:
        """Read the files and print the report."""
        before = None
        if self.flags.before:
            before = read_configuration(self.flags.before)
        report = _report(arguments[0], before)
        if self.flags.json:
            print(json.dumps(msgspec.to_builtins(report), indent=2))
        else:
            print('\n'.join(report.lines()))
        return report.exit_code()


def _report(path: str, before: Configuration | None) -> _Report:
    inspection = inspect_configuration(path)
    configuration = inspection.configuration
    findings = [
        *inspection.hints,
        *find_problems(configuration, has_all_entries=not inspection.errors),
    ]
    changes: tuple[str, ...] = ()
    if before is not None and not inspection.errors:
        findings.extend(find_change_problems(before, configuration))
        changes = tuple(change_lines(before, configuration))
    return _Report(
        version=configuration.version,
        before=None if before is None else before.version,
        unreadable=inspection.errors,
        findings=tuple(findings),
        changes=changes,
    )
