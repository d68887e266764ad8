"""Subcommand ``trace``: the spans of one request."""

import functools
import itertools
import re
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from absl import flags

from fescueknot.cli import addresses
from fescueknot.cli.errors import (
    BadInputError,
    CommandFailedError,
    ExitCode,
)
from fescueknot.cli.fleet_poller import FleetWatch
from fescueknot.cli.ops_client import OpsClient
from fescueknot.cli.ops_command import OpsCommand
from fescueknot.identity import Address
from fescueknot.telemetry import trace_tree
from fescueknot.telemetry.spans import Span

_WORKERS = 32
_TRACE_ID = re.compile('[0-9a-f]{32}')


class Trace(OpsCommand):
    """Prints the spans that the nodes still hold of one trace."""

    arguments_help = 'TRACE_ID'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Prints the spans of one request as a tree. TRACE_ID is the second '
        'field of traceparent. Each node holds its own latest spans only: '
        'name those that the request may have passed with --ops, or ask with '
        '--fleet all that the first one knows.'
    )

    def define_flags(self) -> None:
        """Add the reach."""
        super().define_flags()
        flags.DEFINE_boolean(
            'fleet',
            default=False,
            help='Ask all nodes that the named ones know.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Ask every node and print the tree."""
        trace_id = arguments[0]
        if not _TRACE_ID.fullmatch(trace_id):
            raise BadInputError(
                f'a trace id has 32 lower-case hex digits; found "{trace_id}"'
            )
        spans = self._collect(f'/trace/{trace_id}')
        if not spans:
            raise CommandFailedError(
                f'no spans of {trace_id}: too old, or other nodes took it'
            )
        self.show(msgspec.to_builtins(spans))
        return ExitCode.OK

    def lines(self, document: Any) -> list[str]:
        """Return the tree."""
        return [
            trace_tree.render_tree(msgspec.convert(document, tuple[Span, ...]))
        ]

    def _collect(self, path: str) -> list[Span]:
        asked = addresses.read_ops(self.flags)
        if not self.flags.fleet:
            return [span for one in asked for span in _spans_at(one, path)]
        everywhere = FleetWatch(entry=asked).addresses()
        ask = functools.partial(_spans_if_up, path=path)
        with ThreadPoolExecutor(max_workers=_WORKERS) as pool:
            return list(itertools.chain(*pool.map(ask, everywhere)))


def _spans_if_up(address: Address, path: str) -> tuple[Span, ...]:
    try:
        return _spans_at(address, path)
    except CommandFailedError as error:
        print(f'fescueknot: {error}', file=sys.stderr)
        return ()


def _spans_at(address: Address, path: str) -> tuple[Span, ...]:
    body = OpsClient(address=address).get(path).body
    try:
        return msgspec.json.decode(body, type=tuple[Span, ...])
    except msgspec.DecodeError as error:
        raise CommandFailedError(f'the spans are malformed: {error}') from error
