"""Changes of the accounts' keys."""

import asyncio

from tools.soak.world import World

_CHANGES = (1, 4)
_CHANGE_GAP_S = (0.05, 1.5)


async def change_keys(world: World, index: int) -> None:
    """Withdraw, add and move keys, each with a configuration of its own."""
    accounts = world.accounts
    changes = (accounts.withdraw_key, accounts.add_key, accounts.move_key)
    for _ in range(world.rng.randint(*_CHANGES)):
        world.rng.choice(changes)()
        world.change_configuration()
        await asyncio.sleep(world.rng.uniform(*_CHANGE_GAP_S))


ACCOUNT_FAULTS = (change_keys,)
