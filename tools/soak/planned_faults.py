"""Planned work in series, at bad moments and under load."""

import asyncio

from tools.soak.faults import (
    USUAL_FAULTS,
    configure,
    reload,
    stop,
    store_fails,
    store_link,
)
from tools.soak.habits import LONG_WORK
from tools.soak.world import World

_RELOAD_AFTER_START_S = (0.02, 0.4)
_GAPS_S = (0.05, 0.3, 2.0)
_CONFIGURATIONS = (3, 6)
_CONFIGURATION_GAP_S = (0.02, 0.4)
_BUSY_CALLERS = 6
_BUSY_FOR_S = (0, 0.8)


async def reload_at_start(world: World, index: int) -> None:
    """Stop a node, and SIGHUP it soon after it has started again."""
    await stop(world, index)
    await asyncio.sleep(world.rng.uniform(*_RELOAD_AFTER_START_S))
    await reload(world, index)


async def stops_in_turn(world: World, index: int) -> None:
    """SIGTERM all nodes in turn; a short gap lets the stops overlap."""
    gap_s = world.rng.choice(_GAPS_S)
    stops = []
    for offset, _ in enumerate(world.nodes):
        next_index = (index + offset) % len(world.nodes)
        stops.append(asyncio.ensure_future(stop(world, next_index)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*stops)


async def stop_busy(world: World, index: int) -> None:
    """SIGTERM a node while targets work long on requests that it took."""
    node = world.nodes[index]
    asking = [
        asyncio.ensure_future(world.callers.of_account(node, LONG_WORK).ask())
        for _ in range(_BUSY_CALLERS)
    ]
    await asyncio.sleep(world.rng.uniform(*_BUSY_FOR_S))
    await stop(world, index)
    await asyncio.gather(*asking)


async def configure_quickly(world: World, index: int) -> None:
    """Write several configurations in quick succession."""
    for _ in range(world.rng.randint(*_CONFIGURATIONS)):
        await configure(world, index)
        await asyncio.sleep(world.rng.uniform(*_CONFIGURATION_GAP_S))


_PLANNED = (reload_at_start, stops_in_turn, stop_busy, configure_quickly)
# No others, so that no request without an answer is excused.
PLANNED_FAULTS = (
    *_PLANNED,
    stop,
    reload,
    configure,
    store_fails,
    store_link,
)
FAULTS = (*USUAL_FAULTS, *_PLANNED)
