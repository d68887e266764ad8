"""Action ``rules apply``."""

import getpass
from collections.abc import Sequence

from absl import flags

from fescueknot.cli import addresses
from fescueknot.cli.command import Command
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.fleet_poller import FleetPoller
from fescueknot.cli.rules_access import (
    convert_rules_errors,
    define_platform_flags,
    open_rules_log,
    read_rules_file,
)
from fescueknot.rules.base_version_line import split_base_version
from fescueknot.rules.edit import Applied, Edit
from fescueknot.rules.rules_file import check_rules


class Apply(Command):
    """Puts a rules file in force."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Checks a rules file and writes it to the object API as the next '
        'version, on condition that the rules are still at version --base. '
        'With --ops or --settings it then waits until the version is in force '
        'on every node and says on how many.'
    )

    def define_flags(self) -> None:
        """Define the flags."""
        super().define_flags()
        define_platform_flags(self.flags)
        flags.DEFINE_integer(
            'base',
            default=None,
            lower_bound=0,
            help='Version that the file was edited from; by default the one '
            'that its first line names (see rules show), else 0.',
            flag_values=self.flags,
        )
        flags.DEFINE_string(
            'author',
            default='',
            help='Who makes the change; empty: the user of this shell.',
            flag_values=self.flags,
        )
        flags.DEFINE_list(
            'ops',
            default=[],
            help='IP:PORT of the ops port of any node.',
            flag_values=self.flags,
        )
        flags.DEFINE_float(
            'wait_s',
            default=20,
            lower_bound=0,
            help='Seconds to wait until the version is in force everywhere.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Apply the file; wait for all nodes if a node is named."""
        path = arguments[0]
        version = self._apply(self._read_edit(path))
        if not self.flags.ops and not self.flags.settings:
            return ExitCode.OK
        poller = FleetPoller(seeds=addresses.read_ops_addresses(self.flags))
        print(poller.wait_for_version(version, timeout_s=self.flags.wait_s))
        return ExitCode.OK

    def _read_edit(self, path: str) -> Edit:
        text = read_rules_file(path)
        with convert_rules_errors():
            check_rules(text, file=path)
        parsed = split_base_version(text)
        base_version = self.flags.base
        if base_version is None:
            base_version = parsed.base_version or 0
        return Edit(
            text=parsed.text,
            file=path,
            author=self.flags.author or getpass.getuser(),
            base_version=base_version,
        )

    def _apply(self, edit: Edit) -> int:
        with convert_rules_errors():
            outcome = open_rules_log(self.flags).apply(edit)
        if isinstance(outcome, Applied):
            print(f'accepted as version {outcome.entry.version}')
            return outcome.entry.version
        print(f'unchanged, version {outcome.version} has the same text')
        return outcome.version
