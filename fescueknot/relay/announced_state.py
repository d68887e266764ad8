"""What the target on this host has announced since it started."""

import math

from fescueknot.relay.announcement import Announcement
from fescueknot.relay.observer import Observer

NO_LIMIT_PER_S = math.inf


class AnnouncedState:
    """The last announcement of one start of the target, logged on change."""

    def __init__(self, *, observer: Observer) -> None:
        self._observer = observer
        self._start: tuple[str, int] | None = None
        self._last = Announcement()

    @property
    def rate_limit_per_s(self) -> float:
        """Return the announced limit, infinite without one."""
        rate_limit_per_s = self._last.rate_limit_per_s
        return NO_LIMIT_PER_S if rate_limit_per_s is None else rate_limit_per_s

    @property
    def is_leaving(self) -> bool:
        """Return whether the target has announced that it leaves."""
        return self._last.is_leaving

    def record(
        self, instance: str, started_ms: int, announcement: Announcement
    ) -> None:
        """Record the announcement of an answer of a start of the target."""
        start = (instance, started_ms)
        before = self._last if start == self._start else Announcement()
        self._start = start
        self._last = announcement
        if announcement != before:
            self._observer.note(
                'target.announced',
                instance=instance,
                started_ms=started_ms,
                rate_limit_per_s=announcement.rate_limit_per_s,
                unreadable_limit=announcement.unreadable_limit,
                leaving=announcement.is_leaving,
            )
