"""A flood of one account's requests, and what may let too many of them run."""

import asyncio

from tools.soak.account_faults import change_keys
from tools.soak.faults import (
    configure,
    freeze,
    kill,
    kill_all,
    pause,
    store_fails,
    store_link,
    target_link,
)
from tools.soak.habits import FLOOD
from tools.soak.proxy import Mode
from tools.soak.world import World

_FLOOD_CALLERS_PER_NODE = 3
_FLOOD_S = (8.0, 12.0)
_FLOODED = 'middle'
# Before a lowered limit applies, and for some windows in which it does.
_LOWERED_S = 16.0
# Longer than the lease of an owner of quotas.
_LONG_S = (8.5, 11.0)


async def flood(world: World, index: int) -> None:
    """Send far more requests of one account than its quota, to all nodes."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + world.rng.uniform(*_FLOOD_S)
    await asyncio.gather(
        *(
            _send_until(world, node_index, end_s)
            for node_index, _ in enumerate(world.nodes)
            for _ in range(_FLOOD_CALLERS_PER_NODE)
        )
    )


async def _send_until(world: World, index: int, end_s: float) -> None:
    loop = asyncio.get_running_loop()
    caller = world.callers.of_account(world.nodes[index], FLOOD, _FLOODED)
    while loop.time() < end_s:
        await caller.ask()
        await asyncio.sleep(world.rng.uniform(0, FLOOD.max_pause_s))


async def lower_limit(world: World, index: int) -> None:
    """Lower the limit of the account that floods, for a while."""
    world.accounts.lower_limit(_FLOODED)
    world.change_configuration()
    await asyncio.sleep(_LOWERED_S)
    world.accounts.restore_limit(_FLOODED)
    world.change_configuration()


async def freeze_for_long(world: World, index: int) -> None:
    """Freeze a node until a lease of it has expired; it goes on then."""
    await freeze(world, index, world.rng.uniform(*_LONG_S))


async def cut_off_for_long(world: World, index: int) -> None:
    """Cut a node off from the store until a lease of it has expired."""
    link = world.nodes[index].store
    with world.disruption(store_only=True):
        link.mode = world.rng.choice((Mode.SILENT, Mode.REFUSE))
        link.reset()
        await asyncio.sleep(world.rng.uniform(*_LONG_S))
        link.mode = Mode.CLEAR
        link.reset()


# Floods more often, as each of the others has to meet one.
QUOTA_FAULTS = (
    flood,
    flood,
    flood,
    lower_limit,
    lower_limit,
    freeze_for_long,
    cut_off_for_long,
    kill,
    kill_all,
    pause,
    target_link,
    store_link,
    store_fails,
    configure,
    change_keys,
)
