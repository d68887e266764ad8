"""Entries of another writer among those of the targets, none of them good."""

import msgspec

from fescueknot.targets.publisher import TARGETS_KIND
from tools.soak.world import World

_DEPTH = 50_000
_NESTED = f'{"[" * _DEPTH}{"]" * _DEPTH}'
_WRONG_PORT = """
{"instance": "i", "started_ms": 1, "service": "desk", "slots": 1,
 "place": {"region": "a", "failure_domain": "a-1"},
 "node": {"host": "127.0.0.1", "port": 70000}, "gossip_port": 70000}
"""
_ODD_ENTRIES = (
    _NESTED,
    f'{{"instance": "i", "x": {_NESTED}}}',
    _WRONG_PORT,
    f'{{"instance": "i", "started_ms": 1{"0" * 6000}}}',
)


async def odd_entry(world: World, index: int) -> None:
    """Let another writer leave one of them among those of the targets."""
    text = world.rng.choice(_ODD_ENTRIES)
    raw = msgspec.Raw(text.encode())
    world.store.write(TARGETS_KIND, 'another-writer', raw)
