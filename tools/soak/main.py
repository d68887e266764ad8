"""Runs the soak: ``python -m tools.soak.main --seeds 50``."""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile

import msgspec

from tools.soak.faults import FAULTS
from tools.soak.world import World

_CALM_S = 120
_OVERLAP_S = 2.0


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """How the run of one seed ended."""

    seed: int
    broken: tuple[str, ...]
    served: int
    answered: int
    faults: tuple[str, ...]


async def play(seed: int, folder: pathlib.Path, faults: int) -> Result:
    """Play one seed."""
    world = World(folder=folder, seed=seed)
    played: list[str] = []
    try:
        await world.start()
        world.begin_load()
        await _harm(world, faults, played)
        await world.serve_within(_CALM_S)
    finally:
        world.end()
    return Result(
        seed=seed,
        broken=tuple(world.promises.broken),
        served=world.promises.served,
        answered=world.promises.answered,
        faults=tuple(played),
    )


async def _harm(world: World, faults: int, played: list[str]) -> None:
    running: list[asyncio.Future[None]] = []
    busy: collections.Counter[int] = collections.Counter()
    for _ in range(faults):
        fault = world.rng.choice(FAULTS)
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


def run_seed(seed: int, faults: int) -> Result:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(play(seed, pathlib.Path(folder), faults))
        if result.broken:
            kept = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            for log in pathlib.Path(folder).glob('*.log'):
                (kept / log.name).write_bytes(log.read_bytes())
            print(f'seed {seed}: logs are in {kept}')
        return result


def main() -> int:
    """Play seeds one after the other and print each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--faults', type=int, default=8)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        result = run_seed(seed, options.faults)
        failed += bool(result.broken)
        print(
            f'seed {seed}: {"BROKEN" if result.broken else "kept"}, '
            f'{result.served} served of {result.answered} answered; '
            f'{" ".join(result.faults)}',
            flush=True,
        )
        for line in result.broken[:5]:
            print(f'  {line}', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
