"""What the target on this host has announced since it started."""

import math

from fescueknot.admission.rate_limit import RateLimit
from fescueknot.relay.announcement import Announcement
from fescueknot.relay.observer import Observer


class AnnouncedState:
    """Announcements of the current start of the target.

    ``rate`` is the rate limit for the calls to that start. A node that was
    started after the target has heard none of its answers; until the first
    one, it takes the limit from the callers' nodes, which remember theirs.
    """

    def __init__(self, *, observer: Observer) -> None:
        self._observer = observer
        self._start: tuple[str, int] | None = None
        self.begin(('', 0))

    @property
    def rate_limit_per_s(self) -> float:
        """Return the announced limit, infinite without one."""
        return math.inf if self._limit_per_s is None else self._limit_per_s

    @property
    def is_leaving(self) -> bool:
        """Return whether the target has announced that it leaves."""
        return self._last.is_leaving

    def begin(self, start: tuple[str, int]) -> None:
        """Forget what was announced if this is another start."""
        if start == self._start:
            return
        self._start = start
        self._last = Announcement()
        self._has_answered = False
        self._limit_per_s: float | None = None
        self.rate = RateLimit()

    def record(
        self, start: tuple[str, int], announcement: Announcement, now_s: float
    ) -> None:
        """Record the announcement of an answer; ignore an earlier start's.

        An unreadable limit leaves the one before in force.
        """
        if start != self._start:
            return
        if announcement != self._last:
            self._note(announcement)
        self._last = announcement
        self._has_answered = True
        if not announcement.unreadable_limit:
            self._set_limit(announcement.rate_limit_per_s, now_s)

    def limit_of(self, start: tuple[str, int]) -> float | None:
        """Return the limit of a start, ``None`` for any but the current."""
        return self._limit_per_s if start == self._start else None

    def adopt(self, limit_per_s: float | None, now_s: float) -> None:
        """Take over the limit of a caller's node until the first answer."""
        if limit_per_s is None or self._has_answered:
            return
        if limit_per_s != self._limit_per_s:
            self._observer.note(
                'target.limit_adopted',
                instance=self._start[0],
                rate_limit_per_s=limit_per_s,
            )
            self._set_limit(limit_per_s, now_s)

    def _set_limit(self, limit_per_s: float | None, now_s: float) -> None:
        self._limit_per_s = limit_per_s
        self.rate.set_rate(limit_per_s, now_s)

    def _note(self, announcement: Announcement) -> None:
        instance, started_ms = self._start
        self._observer.note(
            'target.announced',
            instance=instance,
            started_ms=started_ms,
            rate_limit_per_s=announcement.rate_limit_per_s,
            unreadable_limit=announcement.unreadable_limit,
            leaving=announcement.is_leaving,
        )
