"""Changes of configurations and settings, with and without a stop."""

import types

from tools.stop_matrix.field import Change, Field
from tools.stop_matrix.stops import FIRST, stop

_RELOADS = 10
_RELOAD_GAP_S = 0.6
_USUAL = Change()
_MOVED = Change(browse='beta')
_IDLE_SHORT = Change(idle_ms=300)
_SHORTER = (
    Change(timeout_ms=2000),
    Change(timeout_ms=1000),
    Change(timeout_ms=500),
)
_DROPPED = Change(dropped=('once', 'call'))


async def stay_calm(field: Field) -> None:
    """Do nothing."""
    await field.until(0)


async def change(
    field: Field, gap_s: float, changes: tuple[Change, ...]
) -> None:
    """Write one configuration after the other."""
    for step, written in enumerate(changes):
        await field.until(step * gap_s)
        field.configure(written)


async def reload(field: Field) -> None:
    """Send SIGHUP again and again, with changed bounds."""
    for step in range(_RELOADS):
        await field.until(step * _RELOAD_GAP_S)
        field.nodes[FIRST].reload()


async def move_routes(field: Field) -> None:
    """Move a route between services and back."""
    await change(field, 0.7, (_MOVED, _USUAL) * 5)


async def drop_routes(field: Field) -> None:
    """Drop routes of requests in progress, and bring them back."""
    await change(field, 0.9, (_USUAL, _DROPPED) * 4)


async def cut_idle(field: Field) -> None:
    """Cut the limit of idle connections."""
    second = Change(idle_ms=1000)
    limits = (_IDLE_SHORT, _USUAL, _IDLE_SHORT, second, _IDLE_SHORT, _USUAL)
    await change(field, 1, limits)


async def cut_times(field: Field) -> None:
    """Cut the time limits of routes."""
    await change(field, 2, _SHORTER)


async def stop_beside_changes(field: Field) -> None:
    """Stop the node while routes move and its settings change."""
    field.spawn(move_routes(field))
    field.spawn(reload(field))
    await stop(field, FIRST)


CHANGES = types.MappingProxyType(
    {
        'calm': stay_calm,
        'reload': reload,
        'move_routes': move_routes,
        'drop_routes': drop_routes,
        'cut_idle': cut_idle,
        'cut_times': cut_times,
        'stop_beside_changes': stop_beside_changes,
    }
)
