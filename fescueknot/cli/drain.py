"""Subcommand ``drain``: takes nodes out of service."""

import time
from collections.abc import Sequence

from absl import flags

from fescueknot.cli.errors import CommandFailedError, ExitCode
from fescueknot.cli.ops_client import OpsClient
from fescueknot.cli.ops_command import OpsCommand

_POLL_INTERVAL_S = 0.2


class Drain(OpsCommand):
    """Starts the drain of nodes and waits until they have stopped."""

    description = (
        'Makes the node refuse new work, hand over the keys that it owns, '
        'finish the requests in flight and stop. Waits up to --wait_s until '
        'the node no longer responds; exit code 1 if it still responds then.'
    )

    def define_flags(self) -> None:
        """Define the flag for the wait."""
        super().define_flags()
        flags.DEFINE_float(
            'wait_s',
            default=30.0,
            lower_bound=0,
            help='Seconds to wait until the node has stopped.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Start the drain of all nodes, then wait for each to stop."""
        clients = self.clients()
        for client in clients:
            self.show(client.post('/drain').document())
        deadline_s = time.monotonic() + self.flags.wait_s
        for draining in clients:
            _wait_until_stopped(draining, deadline_s)
        print('drained')
        return ExitCode.OK


def _wait_until_stopped(client: OpsClient, deadline_s: float) -> None:
    while _is_responding(client):
        if time.monotonic() >= deadline_s:
            raise CommandFailedError(
                'the node still responds after --wait_s seconds'
            )
        time.sleep(_POLL_INTERVAL_S)


def _is_responding(client: OpsClient) -> bool:
    try:
        client.get('/status')
    except CommandFailedError:
        return False
    return True
