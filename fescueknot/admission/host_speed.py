"""How long work takes on a target's host now, from claims and measurements.

A target claims with its answers how long work takes on its host, in percent of
the usual. The gate measures service times itself, but its mean lags behind and
contains short jumps. The claim corrects that mean; it never replaces it.
"""

import enum
import math

import msgspec

# Largest correction of the measured time, up or down.
_MAX_CORRECTION = 10


class HostSpeedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the averages.

    The fast average follows claims within ``fast_s``, the slow one within
    ``slow_s``. If the fast one is off by more than ``dead_band`` (relative to
    the slow one) for less than ``lasting_s``, that is noise; after that the
    slow average takes its value. Claims older than ``max_age_s`` are ignored.

    ``sample_weight`` is the weight of one answer in the reference, which has
    to equal that of the mean service time. ``trust_variance`` is the variance
    of claims (of their logarithms) above which measurements decide on the
    trust in them.
    """

    fast_s: float = 0.15
    slow_s: float = 3
    lasting_s: float = 1
    dead_band: float = 0.15
    max_age_s: float = 2
    sample_weight: float = 0.05
    trust_variance: float = 0.02


class HostState(enum.StrEnum):
    """What the claims of a target show."""

    SILENT = 'no recent claim'
    STEADY = 'steady'
    NOISE = 'off for less than a second'
    DISTRUSTED = 'measurements contradict the claims'


class ClaimTrust:
    """Whether service times follow the claims.

    The trust is the slope of the logarithm of the service time over that of
    the claim, from 0 to 1. It begins at 1 and is measured as soon as claims
    vary.
    """

    def __init__(self, *, settings: HostSpeedSettings) -> None:
        self._weight = settings.sample_weight
        self._prior = settings.trust_variance
        self._mean_claim: float | None = None
        self._mean_time = float(0)
        self._variance = float(0)
        self._covariance = float(0)

    @property
    def trust(self) -> float:
        """Return how far service times follow the claims, from 0 to 1."""
        slope = (self._covariance + self._prior) / (
            self._variance + self._prior
        )
        return min(1, max(0, slope))

    def add(self, percent: float, service_s: float) -> None:
        """Add an answer with its claim and its measured service time."""
        claim = math.log(percent)
        measured = math.log(service_s)
        if self._mean_claim is None:
            self._mean_claim = claim
            self._mean_time = measured
            return
        claim_change = claim - self._mean_claim
        time_change = measured - self._mean_time
        self._mean_claim += claim_change * self._weight
        self._mean_time += time_change * self._weight
        kept = 1 - self._weight
        self._variance = kept * (
            self._variance + self._weight * claim_change * claim_change
        )
        self._covariance = kept * (
            self._covariance + self._weight * claim_change * time_change
        )


class HostSpeed:
    """Claims of one start of a target.

    ``correction`` is the factor that turns the mean service time of the gate
    into the time of a call now: the lasting claim relative to the claims
    during the calls of that mean, as far as the claims are trusted.
    """

    def __init__(self, *, settings: HostSpeedSettings | None = None) -> None:
        self._settings = settings or HostSpeedSettings()
        self._claims = ClaimTrust(settings=self._settings)
        self._heard_s = float('-inf')
        self._fast = float(0)
        self._slow = float(0)
        self._reference = float(0)
        self._side = 0
        self._side_since_s = float(0)

    def record(self, percent: float, now_s: float) -> None:
        """Record the claim of an answer."""
        age_s = max(0, now_s - self._heard_s)
        self._heard_s = now_s
        if age_s > self._settings.max_age_s:
            self._fast = percent
            self._slow = percent
            self._side = 0
            return
        self._fast += (percent - self._fast) * _share(
            age_s, self._settings.fast_s
        )
        self._slow += (self._fast - self._slow) * _share(
            age_s, self._settings.slow_s
        )
        self._follow_lasting_change(now_s)

    def add_time(self, percent: float, service_s: float) -> None:
        """Record the claim and the service time of an answered call."""
        if service_s <= 0:
            return
        if not self._reference:
            self._reference = percent
        self._reference += (
            percent - self._reference
        ) * self._settings.sample_weight
        self._claims.add(percent, service_s)

    def has_claim(self, now_s: float) -> bool:
        """Return whether the target has claimed a speed recently."""
        return now_s - self._heard_s <= self._settings.max_age_s

    def correction(self, now_s: float) -> float:
        """Return the factor for the measured mean service time."""
        if not self._reference or not self.has_claim(now_s):
            return 1
        factor = (self._slow / self._reference) ** self._claims.trust
        return min(_MAX_CORRECTION, max(1 / _MAX_CORRECTION, factor))

    def state(self, now_s: float) -> HostState:
        """Return what the claims show."""
        if not self.has_claim(now_s):
            return HostState.SILENT
        if self._claims.trust < 1 / 2:
            return HostState.DISTRUSTED
        return HostState.NOISE if self._side else HostState.STEADY

    def _follow_lasting_change(self, now_s: float) -> None:
        side = self._side_of_fast()
        if side != self._side:
            self._side = side
            self._side_since_s = now_s
        elif side and now_s - self._side_since_s >= self._settings.lasting_s:
            self._slow = self._fast
            self._side = 0

    def _side_of_fast(self) -> int:
        """Return 1 if the fast average is above the dead band, -1 if below."""
        band = 1 + self._settings.dead_band
        if self._fast > self._slow * band:
            return 1
        return -1 if self._fast * band < self._slow else 0


def _share(age_s: float, time_constant_s: float) -> float:
    """Return the weight of a value that stands for ``age_s``."""
    return age_s / (age_s + time_constant_s)
