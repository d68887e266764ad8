"""The state that the local target announces.

There is no configured list of targets: a target announces itself to its node
every few seconds. A target whose announcement is too old gets no new work.
"""

import enum

import msgspec

_MAX_ANNOUNCEMENT_AGE_S = 15.0


class TargetCondition(enum.StrEnum):
    """Whether the target accepts new work."""

    SERVING = 'serving'
    DRAINING = 'draining'


class TargetAnnouncement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The announcement of a target; ``slots`` is a hint."""

    state: TargetCondition = TargetCondition.SERVING
    slots: int = 0


class TargetState:
    """The latest announcement of the target and when it was received."""

    def __init__(self) -> None:
        self._latest: TargetAnnouncement | None = None
        self._received_s = float(0)

    def record(self, announcement: TargetAnnouncement, now_s: float) -> None:
        """Record an announcement."""
        self._latest = announcement
        self._received_s = now_s

    def accepts_work(self, now_s: float) -> bool:
        """Return whether the latest announcement is recent and says serving."""
        if (
            self._latest is None
            or now_s - self._received_s > _MAX_ANNOUNCEMENT_AGE_S
        ):
            return False
        return self._latest.state is TargetCondition.SERVING
