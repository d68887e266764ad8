"""Runs the soak: ``python -m tools.soak.main --seeds 50``."""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile
from collections.abc import Sequence

import msgspec

from tools.soak.account_faults import ACCOUNT_FAULTS
from tools.soak.faults import Fault
from tools.soak.node_logs import fault_lines
from tools.soak.planned_faults import FAULTS, PLANNED_FAULTS
from tools.soak.quota_faults import QUOTA_FAULTS
from tools.soak.world import USUAL, Parts, World

_CALM_S = 120
_OVERLAP_S = 2.0
# After all faults have ended, also at nodes that have just started.
_ERA_KNOWN_S = 10


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """How the run of one seed ended."""

    seed: int
    broken: tuple[str, ...]
    served: int
    answered: int
    faults: tuple[str, ...]
    unanswered: dict[str, int]


async def play(
    seed: int,
    folder: pathlib.Path,
    faults: int,
    chosen: Sequence[Fault],
    parts: Parts = USUAL,
) -> Result:
    """Play one seed with a number of faults out of those chosen."""
    world = World(folder=folder, seed=seed, parts=parts)
    played: list[str] = []
    try:
        await world.start()
        world.begin_load()
        await _harm(world, faults, chosen, played)
        await world.serve_within(_CALM_S)
        await world.learn_era_within(_ERA_KNOWN_S)
    finally:
        world.end()
    world.promises.judge_lost()
    return Result(
        seed=seed,
        broken=(*world.promises.broken, *fault_lines(folder)),
        served=world.promises.served,
        answered=world.promises.answered,
        faults=tuple(played),
        unanswered=world.promises.lost.counts(),
    )


async def _harm(
    world: World, faults: int, chosen: Sequence[Fault], played: list[str]
) -> None:
    running: list[asyncio.Future[None]] = []
    busy: collections.Counter[int] = collections.Counter()
    for _ in range(faults):
        fault = world.rng.choice(chosen)
        index = world.rng.randrange(len(world.nodes))
        if busy[index]:
            index = min(range(len(world.nodes)), key=busy.__getitem__)
        busy[index] += 1
        played.append(f'{fault.__name__}:{index}')
        running.append(
            asyncio.ensure_future(_guarded(fault, world, index, busy))
        )
        await asyncio.sleep(world.rng.uniform(0, _OVERLAP_S))
    await asyncio.gather(*running)


async def _guarded(fault, world: World, index: int, busy) -> None:
    try:
        await fault(world, index)
    finally:
        busy[index] -= 1


def run_seed(
    seed: int,
    faults: int,
    chosen: Sequence[Fault] = FAULTS,
    parts: Parts = USUAL,
) -> Result:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        playing = play(seed, pathlib.Path(folder), faults, chosen, parts)
        result = asyncio.run(playing)
        if result.broken:
            kept = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            for log in pathlib.Path(folder).glob('*.log'):
                (kept / log.name).write_bytes(log.read_bytes())
            print(f'seed {seed}: logs are in {kept}')
        return result


def _names(faults: Sequence[Fault]) -> list[str]:
    return [fault.__name__ for fault in faults]


def _parts(options: argparse.Namespace) -> Parts:
    return Parts(
        has_accounts=options.accounts or options.quotas,
        has_load_figures=options.load_figures,
        judges_quotas=options.quotas,
    )


def _faults(options: argparse.Namespace, parts: Parts) -> list[Fault]:
    faults: Sequence[Fault] = PLANNED_FAULTS if options.planned else FAULTS
    if parts.has_accounts:
        faults = (*faults, *ACCOUNT_FAULTS)
    if parts.judges_quotas:
        faults = QUOTA_FAULTS
    names = options.only.split(',') if options.only else _names(faults)
    return [fault for fault in faults if fault.__name__ in names]


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--faults', type=int, default=8)
    parser.add_argument('--only', default='', help='names, with commas')
    for flag in ('--planned', '--accounts', '--load-figures'):
        parser.add_argument(flag, action='store_true')
    parser.add_argument(
        '--quotas', action='store_true', help='accounts, floods, their bound'
    )
    return parser.parse_args()


def main() -> int:
    """Play seeds one after the other and print each."""
    options = _options()
    parts = _parts(options)
    chosen = _faults(options, parts)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        result = run_seed(seed, options.faults, chosen, parts)
        failed += bool(result.broken)
        print(
            f'seed {seed}: {"BROKEN" if result.broken else "kept"}, '
            f'{result.served} served of {result.answered} answered; '
            f'{" ".join(result.faults)}; unanswered: {result.unanswered}',
            flush=True,
        )
        for line in result.broken[:5]:
            print(f'  {line}', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
