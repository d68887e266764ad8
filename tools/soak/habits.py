"""How callers of the soak use their connections."""

import msgspec

from fescueknot.httpio.messages import Headers

# What a request asks of its target; nodes pass these headers on.
WORK_HEADER = 'x-soak-work-ms'
REPEATS_HEADER = 'x-soak-repeats'


class Habit(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller sends at once, how it reads, and how long it waits then.

    The target works ``work_ms`` on each, 0 for its usual work, and repeats the
    id in its answer ``repeats`` times.
    """

    pipelined: int = 1
    work_ms: int = 0
    repeats: int = 1
    read_pause_s: float = 0
    max_pause_s: float = 0.06

    def headers(self) -> Headers:
        """Return what tells the target."""
        return (
            (WORK_HEADER, str(self.work_ms)),
            (REPEATS_HEADER, str(self.repeats)),
        )


PLAIN = Habit()
# Shorter than four fifths of the shortest idle limit of the configurations.
SELDOM = Habit(max_pause_s=3.0)
PIPELINED = Habit(pipelined=3, work_ms=50, max_pause_s=0.3)
SLOW_READER = Habit(repeats=40_000, read_pause_s=0.4, max_pause_s=0.6)
LONG_WORK = Habit(work_ms=800)
FLOOD = Habit(max_pause_s=0.04)
# Those of the callers of each node.
CALLERS = (PLAIN, PLAIN, PLAIN, SELDOM, SELDOM, PIPELINED, SLOW_READER)
