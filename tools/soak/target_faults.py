"""Faults and leavings of the targets in a soak."""

import asyncio

from tools.soak.target import SoakTarget
from tools.soak.world import DRAIN_S, World

_SHORT_S = (0.3, 2.5)
_LIMITED_S = (6.0, 9.0)
_SERVES_ON_S = (1.0, 6.0)
_LIMITS_PER_S = (0, 2.5, 8)


async def lose_answers(world: World, index: int) -> None:
    """Let a target run requests and lose some answers."""
    target = world.targets[index]
    target.lose_answers = 0.3
    await asyncio.sleep(world.rng.uniform(*_SHORT_S))
    target.lose_answers = 0


async def release(world: World, index: int) -> None:
    """Let a target drain and start again as a new one."""
    target: SoakTarget = world.targets[index]
    known_as = world.nodes[index].target.address
    try:
        await asyncio.wait_for(target.drain(known_as), 8)
    except TimeoutError:
        return
    finally:
        # It serves for a while longer than it promised to.
        await asyncio.sleep(DRAIN_S + 1)
        target.renew()


async def leave(world: World, index: int) -> None:
    """Let a target leave by a notice alone and serve on for long."""
    target: SoakTarget = world.targets[index]
    try:
        await asyncio.wait_for(target.leave(), 8)
    except TimeoutError:
        return
    finally:
        await asyncio.sleep(DRAIN_S + world.rng.uniform(*_SERVES_ON_S))
        target.renew()


async def limit(world: World, index: int) -> None:
    """Let a target announce a rate limit for a while."""
    target = world.targets[index]
    instance = target.instance
    target.announce_limit(world.rng.choice(_LIMITS_PER_S))
    await asyncio.sleep(world.rng.uniform(*_LIMITED_S))
    if target.instance == instance:
        target.announce_limit(None)


async def leave_by_answers(world: World, index: int) -> None:
    """Let a target leave that says so in its answers alone."""
    target = world.targets[index]
    target.announce_leaving()
    await asyncio.sleep(DRAIN_S + world.rng.uniform(*_SHORT_S))
    target.renew()
