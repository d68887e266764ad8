"""Actions ``rules show``, ``rules history`` and ``rules diff``."""

import datetime
import difflib
import json
from collections.abc import Sequence
from typing import Any

from absl import flags

from fescueknot.cli import render
from fescueknot.cli.command import Command
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.rules_access import (
    convert_rules_errors,
    define_platform_flags,
    open_rules_log,
    read_rules_file,
)
from fescueknot.rules.base_version_line import with_base_version
from fescueknot.rules.log_entry import LogEntry
from fescueknot.rules.log_view import LogView
from fescueknot.rules.past_versions import lines_at


class RulesLogCommand(Command):
    """Base of actions that read the rules log."""

    def define_flags(self) -> None:
        """Define the flags for the object API and the output format."""
        super().define_flags()
        define_platform_flags(self.flags)
        self.define_json_flag()

    def read(self) -> LogView:
        """Return the current contents of the rules log."""
        with convert_rules_errors():
            return open_rules_log(self.flags).read()


class Show(RulesLogCommand):
    """Prints the accepted rules."""

    description = (
        'Prints the accepted rules, or the rules of an earlier --version, as '
        'text that rules apply accepts: its first line names the version that '
        'it is based on.'
    )

    def define_flags(self) -> None:
        """Define the flag for the version."""
        super().define_flags()
        flags.DEFINE_integer(
            'version',
            default=0,
            lower_bound=0,
            help='Version to print; 0: the accepted one.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Print the rules as text or JSON."""
        view = self.read()
        version = self.flags.version or view.head.version
        with convert_rules_errors():
            lines = lines_at(view, version)
        if self.flags.json:
            print(json.dumps({'version': version, 'lines': lines}))
        else:
            print(with_base_version(lines, version=view.head.version), end='')
        return ExitCode.OK


class History(RulesLogCommand):
    """Prints the latest changes of the rules."""

    description = (
        'Prints the latest changes, oldest first: version, time, author, '
        'numbers of lines added and removed.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Print the changes as a table or JSON."""
        rows = [_history_row(entry) for entry in self.read().entries]
        if self.flags.json:
            print(json.dumps(rows, indent=2))
        else:
            print('\n'.join(render.table_lines(rows)))
        return ExitCode.OK


class Diff(RulesLogCommand):
    """Compares a rules file with the accepted rules."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Prints the difference between the accepted rules and FILE. The exit '
        'code is 0 whether or not there is one.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Print a unified diff."""
        path = arguments[0]
        text = read_rules_file(path)
        head = self.read().head
        lines = difflib.unified_diff(
            head.lines,
            text.splitlines(),
            fromfile=f'version {head.version}',
            tofile=path,
            lineterm='',
        )
        print('\n'.join(lines))
        return ExitCode.OK


def _history_row(entry: LogEntry) -> dict[str, Any]:
    hunks = entry.delta()
    changed_at = datetime.datetime.fromtimestamp(
        entry.wall_time_s, datetime.UTC
    )
    return {
        'version': entry.version,
        'time': changed_at.isoformat(timespec='seconds'),
        'author': entry.author,
        'added': sum(len(hunk.added) for hunk in hunks),
        'removed': sum(len(hunk.removed) for hunk in hunks),
        'change': entry.change_id,
    }
