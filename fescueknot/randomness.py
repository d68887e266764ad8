"""Random number generators, passed as arguments to all code that needs one."""

import random


def seeded(*, seed: int) -> random.Random:
    """Return a generator with the same sequence for the same seed."""
    return random.Random(seed)  # noqa: S311


def unseeded() -> random.Random:
    """Return a generator seeded from the operating system."""
    return random.Random()  # noqa: S311
