"""Action ``rules wait``."""

from collections.abc import Sequence

from absl import flags

from fescueknot.cli import addresses
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, ExitCode
from fescueknot.cli.fleet_poller import FleetWatch


class Wait(Command):
    """Waits for a version."""

    arguments_help = 'VERSION'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Asks every node that the named one knows until all of them have '
        'VERSION or a later one in force; exit code 1 when that takes longer '
        'than --wait_s.'
    )

    def define_flags(self) -> None:
        """Add the flags."""
        super().define_flags()
        addresses.define_ops(self.flags)
        flags.DEFINE_float(
            'wait_s',
            default=20,
            lower_bound=0,
            help='Seconds to wait.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Wait."""
        if not arguments[0].isdecimal():
            raise BadInputError(f'a version is a number; found {arguments[0]}')
        watch = FleetWatch(entry=addresses.read_ops(self.flags))
        told = watch.wait(int(arguments[0]), timeout_s=self.flags.wait_s)
        print(told)
        return ExitCode.OK
