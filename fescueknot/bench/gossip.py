"""Measurement of gossip: time, bytes and costs over sizes of the fleet.

Prints one JSON object. The runs use the real cores on a fake network; the
costs are those of one real core that knows a fleet of that size.
"""

import sys

import msgspec
from absl import flags

from fescueknot.bench.gossipcosts import CoreCosts, measure_costs
from fescueknot.bench.gossipfaults import FaultRun, measure_faults
from fescueknot.bench.gossipjoins import JoinRun, measure_joins
from fescueknot.bench.gossipreads import ReaderCalls, measure_reads
from fescueknot.bench.gossipruns import GossipRun, measure
from fescueknot.bench.gossipslopes import Slope, fit
from fescueknot.gossip.peer_choice import SpatialChoice, UniformChoice

TARGET_SIZE = 14_000
DEFAULT_SIZES = ('24', '96', '384', '1536')
_CHOICES = (SpatialChoice, UniformChoice)
_COST_SIZES = (1_000, 4_000, TARGET_SIZE)
_FAULT_SIZES = (26, 104, 312)
_JOIN_SIZES = (583, 2_333, TARGET_SIZE)
_EXTRAPOLATED = (
    'idle_bytes_per_s',
    'loaded_bytes_per_s',
    'loaded_far_bytes_per_s',
    'rule_median_s',
    'rule_longest_s',
    'drain_median_s',
    'drain_longest_s',
    'evidence_median_s',
    'evidence_longest_s',
)


class Extrapolation(msgspec.Struct, frozen=True, kw_only=True):
    """A fitted slope and its value at the target size."""

    choice: str
    measure: str
    slope: Slope
    at_target: float


class GossipReport(msgspec.Struct, frozen=True, kw_only=True):
    """All that was measured."""

    target_size: int
    runs: list[GossipRun]
    extrapolations: list[Extrapolation]
    costs: list[CoreCosts]
    reads: list[ReaderCalls]
    faults: list[FaultRun]
    joins: list[JoinRun]


def main(arguments: list[str]) -> int:
    """Measure the sizes of ``--sizes`` and print the report as JSON."""
    values = flags.FlagValues()
    flags.DEFINE_list(
        'sizes', list(DEFAULT_SIZES), 'Numbers of nodes.', flag_values=values
    )
    flags.DEFINE_integer(
        'seed', 1, 'Seed of the random source.', flag_values=values
    )
    values(['gossip', *arguments])
    sizes = tuple(map(int, values.sizes))
    report = measure_all(sizes=sizes, seed=values.seed)
    sys.stdout.buffer.write(
        msgspec.json.format(msgspec.json.encode(report), indent=2)
    )
    sys.stdout.buffer.write(b'\n')
    return 0


def measure_all(*, sizes: tuple[int, ...], seed: int) -> GossipReport:
    """Measure all sizes with each choice of peers."""
    runs = [
        measure(size=size, choice=choice, seed=seed)
        for choice in _CHOICES
        for size in sizes
    ]
    extrapolations = [
        _extrapolate(choice.__name__, name, runs)
        for choice in _CHOICES
        for name in _EXTRAPOLATED
        if len(sizes) > 1
    ]
    return GossipReport(
        target_size=TARGET_SIZE,
        runs=runs,
        extrapolations=extrapolations,
        costs=[measure_costs(known=known) for known in _COST_SIZES],
        reads=measure_reads(),
        faults=[measure_faults(size=size, seed=seed) for size in _FAULT_SIZES],
        joins=[
            measure_joins(joiners=joiners, seed=seed) for joiners in _JOIN_SIZES
        ],
    )


def _extrapolate(
    choice: str, name: str, runs: list[GossipRun]
) -> Extrapolation:
    chosen = [run for run in runs if run.choice == choice]
    slope = fit(
        tuple(run.size for run in chosen),
        tuple(getattr(run, name) for run in chosen),
    )
    return Extrapolation(
        choice=choice,
        measure=name,
        slope=slope,
        at_target=round(slope.at(TARGET_SIZE), 2),
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
