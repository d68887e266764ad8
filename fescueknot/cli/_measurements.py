"""Table of measurements: name to module and one-line help.

The module's ``main`` takes the words after the name and returns an exit code.
"""

import types

import msgspec


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """Module of a measurement and its one-line help."""

    module: str
    summary: str


BENCHES = types.MappingProxyType(
    {
        'gossip': Measurement(
            module='fescueknot.bench.gossip',
            summary='membership over a fake network: spread, bytes, slopes',
        ),
        'hop': Measurement(
            module='fescueknot.bench.hop',
            summary='time that the layer adds to a call',
        ),
        'ledger': Measurement(
            module='fescueknot.bench.ledger',
            summary='memory and time of at-most-once keys',
        ),
        'policy': Measurement(
            module='fescueknot.bench.policy',
            summary='goodput, waste and recovery under load',
        ),
        'telemetry': Measurement(
            module='fescueknot.bench.telemetry',
            summary='time and memory of recording one hop',
        ),
    }
)
