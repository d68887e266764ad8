"""Durations of the protocol, the same for all members of a service."""

import msgspec


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of the protocol; all members must use the same values.

    ``lease_s`` is the length of a lease from store evidence or a promise.
    ``margin_s`` is added to waits for clocks that run at different rates.
    ``outage_limit_s`` is how long promises may replace store evidence.
    ``retention_s`` is how long a key is remembered. ``key_skew_s`` is how far
    the clock of a caller may be ahead, ``clock_tolerance_s`` how far the wall
    clock of a node may be off.
    """

    lease_s: float = 8
    margin_s: float = 0.5
    outage_limit_s: float = 1800
    retention_s: float = 21_600
    key_skew_s: float = 2
    clock_tolerance_s: float = 0.5

    @property
    def lease_wait_s(self) -> float:
        """Return how long to wait until another member's lease expires."""
        return self.lease_s + self.margin_s

    @property
    def outage_wait_s(self) -> float:
        """Return how long to wait until all promises have expired.

        It holds even if it is unknown which members have promised.
        """
        return self.outage_limit_s + self.margin_s

    @property
    def loss_margin_s(self) -> float:
        """Return how far the creation time in a key may be ahead.

        It is measured against the wall clock of a node at the time of a loss.
        """
        return self.key_skew_s + 2 * self.clock_tolerance_s

    @property
    def entry_retention_s(self) -> float:
        """Return how long the ledger keeps an entry."""
        return self.retention_s + self.loss_margin_s
