"""What the target beside the node says about itself.

There is no list of targets: a target announces itself to its node every few
seconds. One that falls silent gets no new work.
"""

import enum

import msgspec

_SILENT_AFTER_S = 15.0


class TargetCondition(enum.StrEnum):
    """Whether the target wants new work."""

    SERVING = 'serving'
    DRAINING = 'draining'


class TargetAnnouncement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A target's word about itself; ``slots`` is a hint."""

    state: TargetCondition = TargetCondition.SERVING
    slots: int = 0


class TargetState:
    """The last announcement of the target and its age."""

    def __init__(self) -> None:
        self._latest: TargetAnnouncement | None = None
        self._heard_s = float(0)

    def record(self, announcement: TargetAnnouncement, now_s: float) -> None:
        """Take an announcement."""
        self._latest = announcement
        self._heard_s = now_s

    def accepts_work(self, now_s: float) -> bool:
        """Tell whether the target is serving and was heard of lately."""
        if self._latest is None or now_s - self._heard_s > _SILENT_AFTER_S:
            return False
        return self._latest.state is TargetCondition.SERVING
