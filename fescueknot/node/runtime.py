"""Identity, clock and randomness that the components of a node share."""

import dataclasses
import random

from fescueknot.clock import Clock
from fescueknot.identity import InstanceId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Runtime:
    """Identity of the node and its sources of time and randomness."""

    instance: InstanceId
    service: str
    clock: Clock
    rng: random.Random

    def now_s(self) -> float:
        """Return the time of the monotonic clock."""
        return self.clock.monotonic_s()

    def wall_s(self) -> float:
        """Return the time of the wall clock."""
        return self.clock.wall_s()
