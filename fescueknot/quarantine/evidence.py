"""What speaks for and against one fingerprint.

Evidence of several nodes is merged by union, in any order. All decisions are
functions of the merged evidence, so nodes that have the same evidence decide
the same.
"""

import hashlib
import math

import msgspec

# Crashes after which requests are run one at a time, and held back.
SUSPECTED_CRASHES = 2
QUARANTINE_CRASHES = 3
# A request that crashes a target after it was released is held back longer.
FIRST_HOLD_S = 300.0
MAX_HOLD_S = 21_600.0
_HOLD_FACTOR = 4
# Without a further crash, suspicion is forgotten after this time.
SUSPICION_S = 600.0
# A success speaks for the requests that were running at about the same time.
SUCCESS_WINDOW_S = 2.0
# Later crashes of one fingerprint replace the oldest beyond this number.
MAX_CRASHES = 16
_CHECKSUM_BYTES = 8

TargetStart = tuple[str, int]


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """The latest time of holding back, in the time of the event loop."""

    until_s: float = -math.inf
    duration_s: float = 0


class Evidence:
    """Crashes under requests with one fingerprint, and their last success.

    ``crash_times_s`` holds, by start of a target, when it crashed.
    ``cleared_at_s`` is the last time at which a target has answered such a
    request; crashes up to :data:`SUCCESS_WINDOW_S` later don't count.
    ``checksum`` is the same at all nodes with the same evidence, ``weight``
    orders evidence by the number of crashes and the last one, and
    ``forget_at_s`` is when it is of no use any more.
    """

    __slots__ = (
        'checksum',
        'cleared_at_s',
        'crash_times_s',
        'forget_at_s',
        'hold',
        'weight',
    )

    def __init__(self) -> None:
        self.crash_times_s: dict[TargetStart, float] = {}
        self.cleared_at_s = -math.inf
        self.hold = Hold()
        self.checksum = 0
        self.weight = (0, -math.inf)
        self.forget_at_s = -math.inf

    @property
    def crashes(self) -> int:
        """Return the number of crashes that count."""
        return len(self.crash_times_s)

    def add_crash(self, start: TargetStart, at_s: float) -> bool:
        """Add a crash; return whether that changed anything."""
        if not self._counts(at_s) or start in self.crash_times_s:
            return False
        self.crash_times_s[start] = at_s
        if self.crashes > MAX_CRASHES:
            oldest = min(self.crash_times_s, key=self.crash_times_s.__getitem__)
            self.crash_times_s.pop(oldest)
        self._update()
        return True

    def clear(self, at_s: float) -> bool:
        """Record a success at ``at_s``; return whether it was news."""
        was_cleared = math.isfinite(self.cleared_at_s)
        self.cleared_at_s = max(self.cleared_at_s, at_s)
        remaining = {
            start: crashed_s
            for start, crashed_s in self.crash_times_s.items()
            if self._counts(crashed_s)
        }
        has_dropped = len(remaining) < self.crashes
        self.crash_times_s = remaining
        self._update()
        return has_dropped or not was_cleared

    def is_held(self, now_s: float) -> bool:
        """Return whether such requests are held back."""
        return now_s < self.hold.until_s

    def _counts(self, crashed_s: float) -> bool:
        return crashed_s > self.cleared_at_s + SUCCESS_WINDOW_S

    def _update(self) -> None:
        crash_times_s = sorted(self.crash_times_s.values())
        last_crash_s = crash_times_s[-1] if crash_times_s else -math.inf
        self.hold = _latest_hold(crash_times_s)
        self.weight = (self.crashes, last_crash_s)
        self.forget_at_s = max(
            max(last_crash_s, self.cleared_at_s) + SUSPICION_S,
            self.hold.until_s + self.hold.duration_s,
        )
        parts = (math.isfinite(self.cleared_at_s), *sorted(self.crash_times_s))
        digest = hashlib.blake2b(
            repr(parts).encode(), digest_size=_CHECKSUM_BYTES
        )
        self.checksum = int.from_bytes(digest.digest(), 'big')


def _latest_hold(crash_times_s: list[float]) -> Hold:
    """Return the hold that follows from the times of crashes.

    Crashes during a hold belong to requests that were on their way.
    """
    hold = Hold()
    next_duration_s = FIRST_HOLD_S
    for crashed_s in crash_times_s[QUARANTINE_CRASHES - 1 :]:
        if crashed_s >= hold.until_s:
            hold = Hold(
                until_s=crashed_s + next_duration_s, duration_s=next_duration_s
            )
            next_duration_s = min(next_duration_s * _HOLD_FACTOR, MAX_HOLD_S)
    return hold
