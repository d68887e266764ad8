"""Expiry times on the monotonic clock of another host.

A remaining time would be counted from the arrival, so a delay on the network
would extend it. A dispatch to another host therefore carries an expiry time on
that host's clock. The estimate is never too late: Cristian, "Probabilistic
clock synchronization" (1989).
"""

import msgspec

_DRIFT_RATIO = 0.001


class ClockSample(msgspec.Struct, frozen=True, kw_only=True):
    """A reading of a peer's clock, received at local ``received_s``."""

    peer_s: float
    received_s: float


def peer_time(sample: ClockSample, local_s: float) -> float:
    """Return a time on the peer's clock that is not after ``local_s``.

    The peer's clock showed ``peer_s`` at or before ``received_s``; the largest
    drift of both clocks since then is subtracted.
    """
    elapsed_s = local_s - sample.received_s
    drift_s = abs(elapsed_s) * _DRIFT_RATIO
    return sample.peer_s + elapsed_s - drift_s
