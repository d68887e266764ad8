"""Backoff from a target that announces a rate limit.

Its limit is shared by all callers' nodes, of which each knows only its own
calls. A node that is refused there calls other targets for a while, longer
with each further refusal, so that together they ask for little more than the
limit.
"""

import msgspec

from fescueknot.routing.messages import CallResult, ResultKind


class RateBackoffSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The first pause after a refusal, doubled by each further one."""

    base_pause_s: float = 0.25
    max_pause_s: float = 4


class RateBackoff:
    """Refusals of one target that announces a rate limit.

    ``busy_slots`` is the number of slots that the rate keeps busy, 0 without a
    limit. A limit holds until a report without one, however old the last
    report is.
    """

    def __init__(self, *, settings: RateBackoffSettings) -> None:
        self._settings = settings
        self._pause_s = settings.base_pause_s
        self._paused_until_s = float('-inf')
        self.busy_slots = 0

    @property
    def is_limited(self) -> bool:
        """Return whether the target announces a limit."""
        return self.busy_slots > 0

    def is_paused(self, now_s: float) -> bool:
        """Return whether other targets are to be called first."""
        return now_s < self._paused_until_s

    def record(self, result: CallResult, now_s: float) -> None:
        """Record the end of a call; only one with a report counts."""
        if result.report is None:
            return
        self.busy_slots = 0
        if result.report.is_rate_limited:
            self.busy_slots = max(1, result.report.limit)
        is_refused = result.kind is ResultKind.REFUSED
        if self.is_limited and is_refused:
            self._paused_until_s = now_s + self._pause_s
            doubled_s = self._pause_s * 2
            self._pause_s = min(doubled_s, self._settings.max_pause_s)
            return
        self._paused_until_s = now_s
        halved_s = self._pause_s / 2
        self._pause_s = max(halved_s, self._settings.base_pause_s)
