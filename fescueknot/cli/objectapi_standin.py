"""Subcommand ``objectapi-standin``: a stand-in for the object API."""

from collections.abc import Sequence

from absl import flags

from fescueknot.cli import addresses
from fescueknot.cli.command import Command
from fescueknot.cli.errors import CommandFailedError, ExitCode
from fescueknot.objectapi.standin import StandInSettings, serve


class ObjectApiStandIn(Command):
    """Runs the stand-in until the process is stopped."""

    description = (
        "Runs a stand-in for the platform's object API in memory, for the demo "
        'and for tests. Its data is lost when it ends. POST /control/faults '
        'sets outages and lost answers.'
    )

    def define_flags(self) -> None:
        """Define the flag for the address."""
        super().define_flags()
        flags.DEFINE_string(
            'address',
            default='127.0.0.1:7100',
            help='IP:PORT to listen on.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Serve until the process is stopped."""
        address = addresses.parse_address(self.flags.address)
        try:
            serve(StandInSettings(address=address))
        except OSError as error:
            raise CommandFailedError(
                f"can't listen on {address}: {error.strerror}"
            ) from error
        return ExitCode.OK
