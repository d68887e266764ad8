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
from tools.soak.world import GRACE_S, World

_RESTART_S = 0.5
_SIGNAL_TAKES_S = 0.3
# Processor time, as the time that a start takes depends on the host's load.
_INTERPRETER_CPU_S = 0.1
# SIGTERM ends a node that doesn't listen yet, SIGKILL one that was paused.
_STOPPED = (0, -signal.SIGTERM, -signal.SIGKILL)
_SHORT_S = (0.3, 2.5)
_COPY_AGE_S = (0.5, 6.0)
_AWAY_S = (0.1, 1.5)
Fault = Callable[[World, int], Awaitable[None]]


async def restart(world: World, node: SoakNode) -> None:
    """Wait for the end of a node's process and start it again."""
    while node.is_running:
        await asyncio.sleep(0.05)
    await asyncio.sleep(_RESTART_S)
    if node.is_running:
        # Another fault has killed it too and was first.
        return
    world.excuse(node)
    world.promises.version_order.forget(node.name)
    world.promises.work.started(node.name, asyncio.get_running_loop().time())
    node.start()


async def _harm(world: World, link: Proxy, *, store_only: bool) -> None:
    with world.disruption(store_only=store_only):
        link.mode = world.rng.choice(list(Mode))
        await asyncio.sleep(world.rng.uniform(*_SHORT_S))
        link.mode = Mode.CLEAR
        link.reset()


async def kill(world: World, index: int) -> None:
    """SIGKILL a node; it starts again."""
    node = world.nodes[index]
    with world.disruption():
        node.send(signal.SIGKILL)
        await restart(world, node)


async def kill_all(world: World, index: int) -> None:
    """SIGKILL all nodes at once; they start again."""
    with world.disruption():
        for node in world.nodes:
            node.send(signal.SIGKILL)
        restarts = (restart(world, killed) for killed in world.nodes)
        await asyncio.gather(*restarts)


async def stop(world: World, index: int) -> None:
    """SIGTERM a node, SIGKILL it after the grace; it starts again."""
    node = world.nodes[index]
    if node.is_running and not node.is_stopping:
        now_s = asyncio.get_running_loop().time()
        world.promises.work.stopped(node.name, now_s)
        status = await node.stop_within(GRACE_S)
        if status not in _STOPPED:
            _break(world, f'{node.name} ended with {status} at a stop')
    await restart(world, node)


async def pause(world: World, index: int) -> None:
    """Freeze a node for a while."""
    await freeze(world, index, world.rng.uniform(*_SHORT_S))


async def freeze(world: World, index: int, length_s: float) -> None:
    """Stop a node without its knowledge, and let it go on."""
    node = world.nodes[index]
    world.excuse(node)
    with world.disruption():
        node.send(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        node.send(signal.SIGCONT)
    world.excuse(node)


async def reload(world: World, index: int) -> None:
    """SIGHUP a node."""
    node = world.nodes[index]
    now_s = asyncio.get_running_loop().time()
    world.promises.work.reloaded(node.name, now_s)
    node.send(signal.SIGHUP)
    await asyncio.sleep(_SIGNAL_TAKES_S)
    if node.exit_status != -signal.SIGHUP:
        return
    cpu_s = node.used_cpu_s
    if cpu_s > _INTERPRETER_CPU_S:
        _break(world, f'{node.name} ended by SIGHUP after {cpu_s:.3f} cpu s')
    await restart(world, node)


def _break(world: World, line: str) -> None:
    now_s = asyncio.get_running_loop().time()
    world.promises.broken.append(f'{now_s:.3f} {line}')


async def configure(world: World, index: int) -> None:
    """Write a new configuration."""
    world.change_configuration()


async def store_fails(world: World, index: int) -> None:
    """Let the store refuse all calls for a while."""
    with world.disruption(store_only=True):
        world.store.failing = world.rng.choice((429, 503))
        await asyncio.sleep(world.rng.uniform(*_SHORT_S))
        world.store.failing = 0


async def store_loses(world: World, index: int) -> None:
    """Let the store do writes without an answer, and drop its history."""
    with world.disruption(store_only=True):
        world.store.lose_writes = True
        world.store.compact()
        await asyncio.sleep(world.rng.uniform(*_SHORT_S))
        world.store.lose_writes = False


async def store_link(world: World, index: int) -> None:
    """Harm the link of one node to the store."""
    await _harm(world, world.nodes[index].store, store_only=True)


async def target_link(world: World, index: int) -> None:
    """Harm the link of one node to its target."""
    await _harm(world, world.nodes[index].target, store_only=False)


async def reset_target_link(world: World, index: int) -> None:
    """Reset the connections of one node to its target."""
    with world.disruption():
        world.nodes[index].target.reset()


async def store_drill(world: World, index: int) -> None:
    """Let the store come back from an older copy."""
    with world.disruption(store_only=True):
        await world.store.drill(
            copy_age_s=world.rng.uniform(*_COPY_AGE_S),
            away_s=world.rng.uniform(*_AWAY_S),
        )


USUAL_FAULTS: tuple[Fault, ...] = (
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
