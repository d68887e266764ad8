"""Nodes chosen by chance for news, and how often they are told."""

import random

from fescueknot.identity import Address
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.messages import TargetEntry

# Pushes are limited; what is left out goes with the next requests.
_MAX_PUSHES_PER_S = 3.0
_MAX_PUSHES_AT_ONCE = 60.0


class RandomPeers:
    """Chooses other nodes by chance; those that don't gossip are left out."""

    def __init__(
        self,
        *,
        service: str,
        local_address: Address,
        directory: TargetDirectory,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._local_address = local_address
        self._directory = directory
        self._rng = rng

    @property
    def fleet_size(self) -> int:
        """Return the number of nodes in the directory."""
        return len(self._directory)

    @property
    def service_size(self) -> int:
        """Return the number of targets of the local target's service."""
        return len(self._directory.entries_of(self._service))

    def of_service(self, count: int) -> tuple[Address, ...]:
        """Return nodes beside targets of the local target's service."""
        return self._sample(self._directory.entries_of(self._service), count)

    def of_fleet(self, count: int) -> tuple[Address, ...]:
        """Return nodes beside any targets."""
        return self._sample(self._directory.all_entries(), count)

    def _sample(
        self, entries: list[TargetEntry], count: int
    ) -> tuple[Address, ...]:
        """Return the gossip addresses of up to ``count`` other nodes."""
        # One more, as the local node may be among them.
        size = min(len(entries), count + 1)
        chosen = self._rng.sample(entries, size)
        addresses = [
            Address(host=entry.node.host, port=entry.gossip_port)
            for entry in chosen
            if entry.gossip_port
        ]
        others = [one for one in addresses if one != self._local_address]
        return tuple(others[:count])


class PushAllowance:
    """Token bucket of messages that are sent without a request."""

    def __init__(self) -> None:
        self._tokens = _MAX_PUSHES_AT_ONCE
        self._refilled_at_s = float(0)

    def take(self, now_s: float) -> bool:
        """Return whether another message may be sent now."""
        refill = (now_s - self._refilled_at_s) * _MAX_PUSHES_PER_S
        self._refilled_at_s = now_s
        self._tokens = min(_MAX_PUSHES_AT_ONCE, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
