"""Rumour mongering: recent announcements, each sent a bounded number of times.

Nodes that a rumour doesn't reach get the announcement by anti-entropy.
"""

from fescueknot.membership.announcements import Announcement

SENDS_PER_RUMOUR = 6
_OVERHEAD_BYTES = 90


def size_bytes(announcement: Announcement) -> int:
    """Return the approximate size of an announcement in a message."""
    text_fields = (
        announcement.name,
        announcement.service,
        announcement.region,
        announcement.failure_domain,
        announcement.host,
    )
    return _OVERHEAD_BYTES + sum(map(len, text_fields))


class Rumours:
    """Announcements that still have to be sent to peers, by name."""

    def __init__(self, *, sends: int = SENDS_PER_RUMOUR) -> None:
        self._sends = sends
        self._sends_left: dict[str, int] = {}
        self._announcements: dict[str, Announcement] = {}

    def __len__(self) -> int:
        """Return the number of announcements still to be sent."""
        return len(self._announcements)

    def add(self, announcement: Announcement) -> None:
        """Add a rumour, replacing an older one of the same instance."""
        self._sends_left[announcement.name] = self._sends
        self._announcements[announcement.name] = announcement

    def next_batch(self, *, limit_bytes: int) -> tuple[Announcement, ...]:
        """Return the least often sent announcements that fit.

        Each returned announcement counts as sent once.
        """
        batch = []
        for name in sorted(
            self._sends_left, key=self._sends_left.__getitem__, reverse=True
        ):
            limit_bytes -= size_bytes(self._announcements[name])
            if limit_bytes < 0:
                break
            batch.append(self._announcements[name])
        for announcement in batch:
            self._record_send(announcement.name)
        return tuple(batch)

    def _record_send(self, name: str) -> None:
        self._sends_left[name] -= 1
        if not self._sends_left[name]:
            self._sends_left.pop(name)
            self._announcements.pop(name)
