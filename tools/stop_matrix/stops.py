"""Stops of nodes; the first node, which most of them stop, has all clients."""

import asyncio
import functools
import signal
import types

from tools.stop_matrix.field import Field, Trouble

FIRST = 'a'
_STORE_SILENT_S = -1.0
_LEAVES_S = -2.7
_IS_GONE_S = -0.1
_ENDS_S = -0.05
_SIGNALS_S = (0.4, 1.3, 2.9, 3.4, 4.2, 5.0)
_PAUSES_S = (0.3, 0.6, 1.0)


async def stop(field: Field, names: str) -> None:
    """Stop nodes at the same time and start them again."""
    await field.until(0)
    restarts = [field.nodes[name].restart() for name in names]
    await asyncio.gather(*restarts)


async def stop_with_signals(field: Field) -> None:
    """Stop the node, with SIGHUP and further SIGTERM meanwhile."""
    field.spawn(stop(field, FIRST))
    for at_s in _SIGNALS_S:
        await field.until(at_s)
        field.nodes[FIRST].reload()
        field.nodes[FIRST].send(signal.SIGTERM)


async def stop_after_leaving(field: Field) -> None:
    """Have the target leave and end, then stop its node."""
    target = field.targets[FIRST]
    await field.until(_LEAVES_S)
    await target.drain()
    await field.until(_IS_GONE_S)
    await target.leave()
    await stop_after_end(field)


async def stop_after_end(field: Field) -> None:
    """Have the target end, then stop its node."""
    await field.until(_ENDS_S)
    field.targets[FIRST].end()
    await stop(field, FIRST)


async def stop_beside_silence(field: Field) -> None:
    """Stop the node while the store is silent."""
    await field.until(_STORE_SILENT_S)
    field.store.silent = True
    await stop(field, FIRST)
    field.store.silent = False


async def stop_beside_closes(field: Field) -> None:
    """Stop the node beside targets that close after each answer."""
    for target in field.targets.values():
        target.says_close = True
    await stop(field, FIRST)


async def enforce_memory(field: Field) -> None:
    """Kill each process that takes more memory than it has."""
    for node in field.nodes.values():
        field.spawn(node.revive())
        field.spawn(node.watch_memory())


async def stop_often(field: Field) -> None:
    """Stop the node as soon as it runs again."""
    for pause_s in _PAUSES_S:
        await stop(field, FIRST)
        await asyncio.sleep(pause_s)


async def stop_still(field: Field, at_s: float, for_s: float) -> None:
    """Stop the node, which gets no processor for a while."""
    field.spawn(stop(field, FIRST))
    await field.until(at_s)
    field.nodes[FIRST].send(signal.SIGSTOP)
    await field.until(at_s + for_s)
    field.nodes[FIRST].send(signal.SIGCONT)


def _still(at_s: float, for_s: float) -> Trouble:
    return functools.partial(stop_still, at_s=at_s, for_s=for_s)


STOPS = types.MappingProxyType(
    {
        'stop': functools.partial(stop, names=FIRST),
        'two': functools.partial(stop, names='ab'),
        'peer': functools.partial(stop, names='b'),
        'called': functools.partial(stop, names='cd'),
        'all': functools.partial(stop, names='abcd'),
        'signals': stop_with_signals,
        'left': stop_after_leaving,
        'ended': stop_after_end,
        'silent_store': stop_beside_silence,
        'closing_targets': stop_beside_closes,
        'often': stop_often,
        'memory': enforce_memory,
        # The node sees SIGTERM late.
        'seen_late': _still(-0.2, 1.0),
        'seen_a_little_late': _still(-0.1, 0.45),
        'seen_very_late': _still(-0.2, 1.7),
        'still_at_3': _still(2.6, 0.7),
        # Without long work, listening ends and the process too.
        'still_when_idle': _still(3.15, 0.5),
        'still_at_4': _still(3.9, 0.7),
        'still_at_5': _still(5.0, 0.6),
        'briefly_still_at_5': _still(5.0, 0.35),
    }
)
