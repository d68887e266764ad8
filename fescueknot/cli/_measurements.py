"""Table of measurements: module and one-line help by name.

``main`` of the module takes the arguments that follow the name and returns an
exit code.
"""

import types

import msgspec


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """Module of a measurement and its one-line help."""

    module: str
    summary: str


MEASUREMENTS = types.MappingProxyType(
    {
        'gossip': Measurement(
            module='fescueknot.bench.gossip',
            summary='gossip over a simulated network: delays, bytes, growth',
        ),
        'hop': Measurement(
            module='fescueknot.bench.hop',
            summary='time that nodes add to a call',
        ),
        'ledger': Measurement(
            module='fescueknot.bench.ledger',
            summary='memory and time of at-most-once keys',
        ),
        'policy': Measurement(
            module='fescueknot.bench.policy',
            summary='goodput, wasted work and recovery under load',
        ),
        'telemetry': Measurement(
            module='fescueknot.bench.telemetry',
            summary='time and memory of recording one hop',
        ),
    }
)
