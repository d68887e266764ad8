"""Share of the calls to a service that may leave for targets farther away."""

import random

import msgspec


class ShareSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a share.

    Every ``interval_s`` the share grows or shrinks by the fraction
    ``step_ratio`` of itself, by ``min_step`` at least and ``max_step`` at most.
    It stays while home and outside differ by less than ``dead_band_s``. It is
    halved by a refusal, once in ``halving_interval_s``, as the refusals of one
    moment have one cause. Without calls for ``max_idle_s`` it is 0.

    ``max_failures`` calls that fail in a row end the share for ``pause_s``,
    doubled by each failed probe up to ``max_pause_s``. A probe without an
    answer for ``probe_s`` has failed.

    A measured delay counts after ``min_samples`` calls, for
    ``max_sample_age_s`` after the last; each has the weight ``sample_weight``.
    """

    interval_s: float = 0.1
    step_ratio: float = 0.5
    min_step: float = 0.04
    max_step: float = 0.1
    dead_band_s: float = 0.003
    halving_interval_s: float = 0.2
    max_idle_s: float = 5
    max_failures: int = 5
    pause_s: float = 0.5
    max_pause_s: float = 2
    probe_s: float = 2
    min_samples: int = 5
    max_sample_age_s: float = 5
    sample_weight: float = 0.1


class MeasuredDelay:
    """Moving average of the delays of answered calls."""

    def __init__(self, *, settings: ShareSettings) -> None:
        self._settings = settings
        self._mean_s = float(0)
        self._count = 0
        self._last_s = float('-inf')

    def add(self, delay_s: float, now_s: float) -> None:
        """Add the delay of an answered call."""
        if now_s - self._last_s > self._settings.max_sample_age_s:
            self._count = 0
        self._last_s = now_s
        self._count += 1
        weight = max(self._settings.sample_weight, 1 / self._count)
        self._mean_s += (delay_s - self._mean_s) * weight

    def mean_s(self, now_s: float) -> float:
        """Return the mean, 0 with too few recent calls."""
        is_recent = now_s - self._last_s <= self._settings.max_sample_age_s
        has_enough = self._count >= self._settings.min_samples
        return self._mean_s if is_recent and has_enough else 0


class Reach:
    """Whether the targets outside can be reached, by the ends of calls.

    After ``max_failures`` in a row nothing is sent there for a while, then one
    call as a probe.
    """

    def __init__(self, *, settings: ShareSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._pause_s = settings.pause_s
        self._is_probing = False
        self._closed_until_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Return whether calls have been answered lately, or none was sent."""
        return self._closed_until_s is None

    def may_send(self, now_s: float) -> bool:
        """Return whether a call may be sent, if only as a probe."""
        return self._closed_until_s is None or now_s >= self._closed_until_s

    def sent(self, now_s: float) -> None:
        """Record a call; while closed, it is a probe and the only one."""
        if self._closed_until_s is not None:
            self._is_probing = True
            self._closed_until_s = now_s + self._settings.probe_s

    def answered(self) -> bool:
        """Record an answer; return whether it was that of a probe."""
        was_closed = self._closed_until_s is not None
        self._failures = 0
        self._closed_until_s = None
        self._is_probing = False
        self._pause_s = self._settings.pause_s
        return was_closed

    def failed(self, now_s: float) -> bool:
        """Record a failure; return whether nothing may be sent now.

        Calls sent before the end of the share may fail later than it; they say
        nothing new.
        """
        self._failures += 1
        if self._is_probing:
            self._is_probing = False
            doubled_s = self._pause_s * 2
            self._pause_s = min(doubled_s, self._settings.max_pause_s)
            self._closed_until_s = now_s + self._pause_s
        elif self._closed_until_s is None:
            if self._failures < self._settings.max_failures:
                return False
            self._closed_until_s = now_s + self._pause_s
        return True


class DomainShare:
    """Share of calls, 0 to 1, that may leave for one distance.

    The share grows while the next call costs more at home, and begins low.
    """

    def __init__(self, *, settings: ShareSettings | None = None) -> None:
        self._settings = settings or ShareSettings()
        self.share = float(0)
        self.reach = Reach(settings=self._settings)
        self._gap_s = float(0)
        self._count = 0
        self._stepped_s = float('-inf')
        self._halved_s = float('-inf')

    def observe(self, gap_s: float, now_s: float) -> None:
        """Record by how much a call costs more at home than outside.

        Changes the share when it is time for that.
        """
        self._gap_s += gap_s
        self._count += 1
        idle_s = now_s - self._stepped_s
        if idle_s < self._settings.interval_s:
            return
        if idle_s > self._settings.max_idle_s:
            self.share = 0
        self._step(self._gap_s / self._count)
        self._stepped_s = now_s
        self._gap_s = 0
        self._count = 0

    def may_leave(self, now_s: float, rng: random.Random) -> bool:
        """Return whether a call may be sent outside."""
        if not self.reach.may_send(now_s):
            return False
        is_probe = not self.reach.is_open
        return is_probe or (self.share > 0 and rng.random() < self.share)

    def refused(self, now_s: float) -> None:
        """Halve the share, as a gate outside has refused a call."""
        self._answered()
        if now_s - self._halved_s < self._settings.halving_interval_s:
            return
        self._halved_s = now_s
        self.share /= 2

    def answered(self) -> None:
        """Record that a target outside has answered a call."""
        self._answered()

    def failed(self, now_s: float) -> None:
        """Record that a call outside has failed."""
        if self.reach.failed(now_s):
            self.share = 0

    def _answered(self) -> None:
        if self.reach.answered():
            self.share = self._settings.min_step

    def _step(self, gap_s: float) -> None:
        if not self.reach.is_open:
            return
        by_ratio = self.share * self._settings.step_ratio
        bounded = min(self._settings.max_step, by_ratio)
        step = max(self._settings.min_step, bounded)
        if gap_s > self._settings.dead_band_s:
            self.share = min(1, self.share + step)
        elif gap_s < -self._settings.dead_band_s:
            self.share = max(0, self.share - step)
