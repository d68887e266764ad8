"""Polls all nodes of the fleet for the version of the rules in force."""

import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from fescueknot.cli.addresses import parse_address
from fescueknot.cli.errors import CommandFailedError
from fescueknot.cli.ops_client import OpsClient
from fescueknot.identity import Address

_POLL_INTERVAL_S = 0.2
_REQUEST_TIMEOUT_S = 2.0
_MAX_PARALLEL_REQUESTS = 32
_MAX_NODES_SHOWN = 5


class NodeVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Version in force on one node; -1 if the node did not respond."""

    address: Address
    version: int


class FleetPoller:
    """Finds the nodes of the fleet through seed nodes and polls them.

    ``seeds`` are the ops addresses of the seed nodes.
    """

    def __init__(self, *, seeds: tuple[Address, ...]) -> None:
        self._seeds = seeds

    def wait_for_version(self, version: int, *, timeout_s: float) -> str:
        """Wait until all nodes have ``version`` or a later one in force.

        Return a summary to print. Raise :class:`CommandFailedError` if nodes
        are still behind after ``timeout_s``.
        """
        began_s = time.monotonic()
        behind = self.nodes_behind(version)
        while behind and time.monotonic() < began_s + timeout_s:
            time.sleep(_POLL_INTERVAL_S)
            behind = self.nodes_behind(version)
        total = len(self.ops_addresses())
        summary = f'in force on {total - len(behind)} of {total} nodes'
        if behind:
            late_addresses = [
                str(node.address) for node in behind[:_MAX_NODES_SHOWN]
            ]
            shown = ', '.join(late_addresses)
            raise CommandFailedError(f'{summary}; not yet on {shown}')
        return f'version {version} is {summary}'

    def nodes_behind(self, version: int) -> list[NodeVersion]:
        """Return nodes that have an older version or do not respond."""
        with ThreadPoolExecutor(max_workers=_MAX_PARALLEL_REQUESTS) as pool:
            nodes = list(pool.map(_version_at, self.ops_addresses()))
        return [node for node in nodes if node.version < version]

    def ops_addresses(self) -> tuple[Address, ...]:
        """Return the ops addresses of the seeds and the nodes they know."""
        known: dict[Address, None] = dict.fromkeys(self._seeds)
        for address in self._seeds:
            known.update(
                dict.fromkeys(known_ops_addresses(OpsClient(address=address)))
            )
        return tuple(known)


def known_ops_addresses(client: OpsClient) -> Iterable[Address]:
    """Return the ops addresses of the nodes that a node knows.

    Nodes that were lost or have left are omitted.
    """
    rows = client.get('/targets').document()['targets']
    live_rows = [row for row in rows if row['state'] not in {'lost', 'left'}]
    try:
        return tuple(parse_address(row['ops']) for row in live_rows)
    except KeyError as missing:
        raise CommandFailedError(
            'a target in the response to /targets has no ops address'
        ) from missing


def _version_at(address: Address) -> NodeVersion:
    client = OpsClient(address=address, timeout_s=_REQUEST_TIMEOUT_S)
    try:
        version = client.get('/status').document()['rules_version']
    except CommandFailedError:
        version = -1
    return NodeVersion(address=address, version=version)
