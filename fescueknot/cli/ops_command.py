"""Base class of subcommands that query running nodes."""

import abc
import json
from typing import Any

from fescueknot.cli import addresses
from fescueknot.cli.command import Command
from fescueknot.cli.ops_client import OpsClient


class OpsCommand(Command, abc.ABC):
    """A subcommand with ``--ops``, ``--settings`` and ``--json``."""

    def define_flags(self) -> None:
        """Define the flags of every such subcommand."""
        super().define_flags()
        addresses.define_ops_flags(self.flags)
        self.define_json_flag()

    def clients(self) -> tuple[OpsClient, ...]:
        """Return a client for each node that the flags name."""
        return tuple(
            OpsClient(address=address)
            for address in addresses.read_ops_addresses(self.flags)
        )

    def show(self, document: Any) -> None:
        """Print ``document`` as JSON or plain text."""
        if self.flags.json:
            print(json.dumps(document, indent=2))
        else:
            print('\n'.join(self.lines(document)))

    def lines(self, document: Any) -> list[str]:
        """Return the lines of the plain text of ``document``."""
        return [str(document)]
