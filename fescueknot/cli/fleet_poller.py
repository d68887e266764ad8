"""Asks the whole fleet which version of the rules is in force."""

import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from fescueknot.cli.addresses import parse_address
from fescueknot.cli.errors import CommandFailedError
from fescueknot.cli.ops_client import OpsClient
from fescueknot.identity import Address

_POLL_S = 0.2
_ASK_TIMEOUT_S = 2.0
_WORKERS = 32
_SHOWN = 5


class NodeVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The version in force on one node; -1 when it gave no answer."""

    address: Address
    version: int


class FleetWatch:
    """Finds all nodes through ``entry`` and polls them."""

    def __init__(self, *, entry: tuple[Address, ...]) -> None:
        self._entry = entry

    def wait(self, version: int, *, timeout_s: float) -> str:
        """Return a sentence when ``version`` is in force everywhere.

        Raise :class:`CommandFailedError` when it is not in time.
        """
        began_s = time.monotonic()
        behind = self.behind(version)
        while behind and time.monotonic() < began_s + timeout_s:
            time.sleep(_POLL_S)
            behind = self.behind(version)
        total = len(self.addresses())
        told = f'in force on {total - len(behind)} of {total} nodes'
        if behind:
            late = [str(one.address) for one in behind[:_SHOWN]]
            shown = ', '.join(late)
            raise CommandFailedError(f'{told}; not yet on {shown}')
        return f'version {version} is {told}'

    def behind(self, version: int) -> list[NodeVersion]:
        """Return the nodes that have an older version or don't answer."""
        with ThreadPoolExecutor(max_workers=_WORKERS) as pool:
            found = list(pool.map(_version_at, self.addresses()))
        return [one for one in found if one.version < version]

    def addresses(self) -> tuple[Address, ...]:
        """Return the operators' addresses of all nodes known there."""
        known: dict[Address, None] = dict.fromkeys(self._entry)
        for address in self._entry:
            known.update(dict.fromkeys(known_ops(OpsClient(address=address))))
        return tuple(known)


def known_ops(client: OpsClient) -> Iterable[Address]:
    """Return the operators' addresses of the nodes that a node knows."""
    rows = client.get('/targets').document()['targets']
    working = [row for row in rows if row['state'] not in {'lost', 'left'}]
    try:
        return tuple(parse_address(row['ops']) for row in working)
    except KeyError as missing:
        raise CommandFailedError(
            "the node does not tell the other nodes' ops addresses"
        ) from missing


def _version_at(address: Address) -> NodeVersion:
    client = OpsClient(address=address, timeout_s=_ASK_TIMEOUT_S)
    try:
        version = client.get('/status').document()['rules_version']
    except CommandFailedError:
        version = -1
    return NodeVersion(address=address, version=version)
