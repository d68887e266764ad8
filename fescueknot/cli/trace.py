"""Subcommand ``trace``: prints the spans of one request."""

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
from fescueknot.cli.fleet_poller import FleetPoller
from fescueknot.cli.ops_client import OpsClient
from fescueknot.cli.ops_command import OpsCommand
from fescueknot.decoding import DECODE_ERRORS
from fescueknot.identity import Address
from fescueknot.telemetry import trace_tree
from fescueknot.telemetry.spans import Span

_MAX_PARALLEL_REQUESTS = 32
_TRACE_ID = re.compile('[0-9a-f]{32}')


class Trace(OpsCommand):
    """Prints the spans of one trace that nodes still store."""

    arguments_help = 'TRACE_ID'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Prints the spans of one request as a tree. TRACE_ID is the second '
        'field of traceparent. Each node stores only its own latest spans: '
        'name with --ops the nodes that the request may have passed, or query '
        'with --fleet all nodes that the named nodes know.'
    )

    def define_flags(self) -> None:
        """Define the flag that selects all nodes."""
        super().define_flags()
        flags.DEFINE_boolean(
            'fleet',
            default=False,
            help='Query all nodes that the named nodes know.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Query the nodes and print the tree of spans."""
        trace_id = arguments[0]
        if not _TRACE_ID.fullmatch(trace_id):
            raise BadInputError(
                f'a trace id has 32 lower-case hex digits; found "{trace_id}"'
            )
        spans = self._collect_spans(f'/trace/{trace_id}')
        if not spans:
            raise CommandFailedError(
                f'no spans of trace {trace_id}: no longer stored, or other '
                'nodes handled the request'
            )
        self.show(msgspec.to_builtins(spans))
        return ExitCode.OK

    def lines(self, document: Any) -> list[str]:
        """Return the tree of spans."""
        return [
            trace_tree.render_tree(msgspec.convert(document, tuple[Span, ...]))
        ]

    def _collect_spans(self, path: str) -> list[Span]:
        ops_addresses = addresses.read_ops_addresses(self.flags)
        if not self.flags.fleet:
            return [
                span
                for address in ops_addresses
                for span in _fetch_spans(address, path)
            ]
        fleet_addresses = FleetPoller(seeds=ops_addresses).ops_addresses()
        fetch = functools.partial(_fetch_spans_if_up, path=path)
        with ThreadPoolExecutor(max_workers=_MAX_PARALLEL_REQUESTS) as pool:
            return list(itertools.chain(*pool.map(fetch, fleet_addresses)))


def _fetch_spans_if_up(address: Address, path: str) -> tuple[Span, ...]:
    try:
        return _fetch_spans(address, path)
    except CommandFailedError as error:
        print(f'fescueknot: {error}', file=sys.stderr)
        return ()


def _fetch_spans(address: Address, path: str) -> tuple[Span, ...]:
    body = OpsClient(address=address).get(path).body
    try:
        return msgspec.json.decode(body, type=tuple[Span, ...])
    except DECODE_ERRORS as error:
        raise CommandFailedError(f'the spans are malformed: {error}') from error
