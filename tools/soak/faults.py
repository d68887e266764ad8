"""Faults of a soak, drawn from a seed; some overlap."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tools.soak.crashing_requests import crashing_request
from tools.soak.node import SoakNode
from tools.soak.odd_entries import odd_entry
from tools.soak.proxy import Mode, Proxy
from tools.soak.target_faults import (
    leave,
    leave_by_answers,
    limit,
    lose_answers,
    release,
)
from tools.soak.world import World

_RESTART_S = 0.5
_SHORT_S = (0.3, 2.5)
_COPY_AGE_S = (0.5, 6.0)
_AWAY_S = (0.1, 1.5)
Fault = Callable[[World, int], Awaitable[None]]


async def _restart(world: World, node: SoakNode) -> None:
    while node.is_running:
        await asyncio.sleep(0.05)
    await asyncio.sleep(_RESTART_S)
    if node.is_running:
        # Another fault has killed it too and was first.
        return
    world.excuse(node)
    node.start()


async def _harm(world: World, link: Proxy) -> None:
    link.mode = world.rng.choice(list(Mode))
    await asyncio.sleep(world.rng.uniform(*_SHORT_S))
    link.mode = Mode.CLEAR
    link.reset()


async def kill(world: World, index: int) -> None:
    """SIGKILL a node; it starts again."""
    node = world.nodes[index]
    node.send(signal.SIGKILL)
    await _restart(world, node)


async def kill_all(world: World, index: int) -> None:
    """SIGKILL all nodes at once; they start again."""
    for node in world.nodes:
        node.send(signal.SIGKILL)
    restarts = (_restart(world, killed) for killed in world.nodes)
    await asyncio.gather(*restarts)


async def stop(world: World, index: int) -> None:
    """SIGTERM a node; it starts again."""
    node = world.nodes[index]
    node.send(signal.SIGTERM)
    await _restart(world, node)


async def pause(world: World, index: int) -> None:
    """Stop a node for a while without its knowledge."""
    node = world.nodes[index]
    world.excuse(node)
    node.send(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(*_SHORT_S))
    node.send(signal.SIGCONT)
    world.excuse(node)


async def reload(world: World, index: int) -> None:
    """SIGHUP a node."""
    world.nodes[index].send(signal.SIGHUP)


async def configure(world: World, index: int) -> None:
    """Write a new configuration."""
    world.change_configuration()


async def store_fails(world: World, index: int) -> None:
    """Let the store refuse all calls for a while."""
    world.store.failing = world.rng.choice((429, 503))
    await asyncio.sleep(world.rng.uniform(*_SHORT_S))
    world.store.failing = 0


async def store_loses(world: World, index: int) -> None:
    """Let the store do writes without an answer, and drop its history."""
    world.store.lose_writes = True
    world.store.compact()
    await asyncio.sleep(world.rng.uniform(*_SHORT_S))
    world.store.lose_writes = False


async def store_link(world: World, index: int) -> None:
    """Harm the link of one node to the store."""
    await _harm(world, world.nodes[index].store)


async def target_link(world: World, index: int) -> None:
    """Harm the link of one node to its target."""
    await _harm(world, world.nodes[index].target)


async def reset_target_link(world: World, index: int) -> None:
    """Reset the connections of one node to its target."""
    world.nodes[index].target.reset()


async def store_drill(world: World, index: int) -> None:
    """Let the store come back from an older copy."""
    await world.store.drill(
        copy_age_s=world.rng.uniform(*_COPY_AGE_S),
        away_s=world.rng.uniform(*_AWAY_S),
    )


FAULTS: tuple[Fault, ...] = (
    kill,
    stop,
    pause,
    reload,
    configure,
    store_fails,
    odd_entry,
    store_loses,
    store_link,
    target_link,
    reset_target_link,
    lose_answers,
    release,
    leave,
    kill_all,
    store_drill,
    limit,
    leave_by_answers,
    crashing_request,
)
