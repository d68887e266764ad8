"""The target on this host: what it said last, and what it was promised.

Nothing is sent to a target that has not announced itself in this process or
in the store, nor to one that said it leaves longer than the bound ago.
"""

import enum

import msgspec

from fescueknot.targets.messages import Heartbeat, TargetState


class Availability(enum.StrEnum):
    """What may be sent to the target."""

    UNKNOWN = 'no target is known'
    SERVING = 'serving'
    LEAVING = 'leaving, still takes late arrivals'
    LEFT = 'left'


class HeartbeatEffect(enum.StrEnum):
    """What a heartbeat changed."""

    NOTHING = 'nothing'
    STALE = 'stale'
    NEW_START = 'new start'
    CHANGED = 'changed'


class LeavingBounds(msgspec.Struct, frozen=True, kw_only=True):
    """``accept_s`` is how long a leaving target takes late arrivals."""

    accept_s: float


class LocalTarget:
    """Orders heartbeats and remembers a leaving."""

    def __init__(self, *, bounds: LeavingBounds) -> None:
        self.bounds = bounds
        self._current: Heartbeat | None = None
        self._leaving_since_s: float | None = None
        self._refuted: set[tuple[str, int]] = set()
        self._left_at_ms: dict[str, int] = {}

    @property
    def current(self) -> Heartbeat | None:
        """Return the last heartbeat that counts."""
        return self._current

    def receive_heartbeat(
        self, heard: Heartbeat, now_s: float
    ) -> HeartbeatEffect:
        """Take a heartbeat; late and overtaken ones change nothing."""
        start = (heard.instance, heard.started_ms)
        if start in self._refuted or self._left_before(heard):
            return HeartbeatEffect.STALE
        known = self._current
        if known is None or heard.started_ms > known.started_ms:
            self._begin(heard, now_s)
            return HeartbeatEffect.NEW_START
        if start != (known.instance, known.started_ms):
            return HeartbeatEffect.STALE
        if heard.sequence <= known.sequence:
            return HeartbeatEffect.STALE
        return self._follow(heard, known, now_s)

    def restore(self, remembered: Heartbeat, now_s: float) -> bool:
        """Take up a target that an earlier process has known, if it stayed.

        Nobody knows how long ago it said that it leaves, so a leaving one
        gets nothing more.
        """
        if self._left_before(remembered):
            return False
        self._begin(remembered, now_s)
        if remembered.state is TargetState.DRAINING:
            self._leaving_since_s = now_s - self.bounds.accept_s
        return True

    def receive_leave(self, instance: str, now_s: float, wall_ms: int) -> bool:
        """Take a leave; return whether it concerns the current target.

        The leave of a target that isn't known yet holds for all its starts
        up to ``wall_ms`` (Unix milliseconds): the store may still list it.
        """
        self._left_at_ms[instance] = wall_ms
        if self._current is None or self._current.instance != instance:
            return False
        if self._leaving_since_s is None:
            self._leaving_since_s = now_s
        return True

    def remove_mismatched(self, instance: str) -> bool:
        """Forget a target whose address answered as another one."""
        if self._current is None or self._current.instance != instance:
            return False
        self._refuted.add((instance, self._current.started_ms))
        self._current = None
        self._leaving_since_s = None
        return True

    def availability(self, now_s: float) -> Availability:
        """Return what may be sent to the target now."""
        if self._current is None:
            return Availability.UNKNOWN
        if self._leaving_since_s is None:
            return Availability.SERVING
        if now_s - self._leaving_since_s < self.bounds.accept_s:
            return Availability.LEAVING
        return Availability.LEFT

    def _left_before(self, heard: Heartbeat) -> bool:
        left_ms = self._left_at_ms.get(heard.instance)
        return left_ms is not None and heard.started_ms <= left_ms

    def _begin(self, heard: Heartbeat, now_s: float) -> None:
        self._current = heard
        leaving = heard.state is TargetState.DRAINING
        self._leaving_since_s = now_s if leaving else None

    def _follow(
        self, heard: Heartbeat, known: Heartbeat, now_s: float
    ) -> HeartbeatEffect:
        self._current = heard
        if heard.state is TargetState.DRAINING:
            if self._leaving_since_s is not None:
                return HeartbeatEffect.NOTHING
            self._leaving_since_s = now_s
            return HeartbeatEffect.CHANGED
        if heard.slots == known.slots and heard.service == known.service:
            return HeartbeatEffect.NOTHING
        return HeartbeatEffect.CHANGED
