"""Action ``rules wait``."""

from collections.abc import Sequence

from absl import flags

from fescueknot.cli import addresses
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, ExitCode
from fescueknot.cli.fleet_poller import FleetPoller


class Wait(Command):
    """Waits until a version of the rules is in force on all nodes."""

    arguments_help = 'VERSION'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Polls every node that the named nodes know until all of them have '
        'VERSION or a later version in force; exit code 1 if that takes longer '
        'than --wait_s.'
    )

    def define_flags(self) -> None:
        """Define the flags."""
        super().define_flags()
        addresses.define_ops_flags(self.flags)
        flags.DEFINE_float(
            'wait_s',
            default=20,
            lower_bound=0,
            help='Seconds to wait.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Wait for the version."""
        if not arguments[0].isdecimal():
            raise BadInputError(f'a version is a number; found {arguments[0]}')
        poller = FleetPoller(seeds=addresses.read_ops_addresses(self.flags))
        summary = poller.wait_for_version(
            int(arguments[0]), timeout_s=self.flags.wait_s
        )
        print(summary)
        return ExitCode.OK
