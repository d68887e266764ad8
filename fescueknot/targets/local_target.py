"""State of the target on the local host, from its heartbeats.

No call is sent to a target before its own heartbeat, nor to one that began to
leave longer ago than late arrivals are accepted. The store and other nodes are
believed when they say that a target leaves, never that it serves: that may
date from before it left.
"""

import enum

import msgspec

from fescueknot.targets.messages import Heartbeat, TargetState

# Of the whole fleet, as other nodes tell of theirs; the oldest are dropped.
_MAX_LEFT_INSTANCES = 4096


class Availability(enum.StrEnum):
    """Which calls may be sent to the target."""

    UNKNOWN = 'no target is known'
    SERVING = 'serving'
    LEAVING = 'leaving, still takes late arrivals'
    LEFT = 'left'


class HeartbeatEffect(enum.StrEnum):
    """How a heartbeat changed the state of the target."""

    NOTHING = 'nothing'
    STALE = 'stale'
    NEW_START = 'new start'
    CHANGED = 'changed'


class LeavingBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a target's leaving.

    ``accept_s`` is how long a leaving target still accepts late arrivals:
    calls of nodes that have not received yet that it leaves.
    """

    accept_s: float


class LocalTarget:
    """Orders the heartbeats of the target and records that it leaves."""

    def __init__(self, *, bounds: LeavingBounds) -> None:
        self.bounds = bounds
        self._current: Heartbeat | None = None
        self._leaving_since_s: float | None = None
        self._mismatched: set[tuple[str, int]] = set()
        self._left_at_ms_by_instance: dict[str, int] = {}

    @property
    def current(self) -> Heartbeat | None:
        """Return the last accepted heartbeat."""
        return self._current

    def receive_heartbeat(
        self, heartbeat: Heartbeat, now_s: float
    ) -> HeartbeatEffect:
        """Apply a heartbeat; one that is out of date changes nothing."""
        start = (heartbeat.instance, heartbeat.started_ms)
        if start in self._mismatched or self._has_left(heartbeat):
            return HeartbeatEffect.STALE
        current = self._current
        if current is None or heartbeat.started_ms > current.started_ms:
            self._start(heartbeat, now_s)
            return HeartbeatEffect.NEW_START
        if start != (current.instance, current.started_ms):
            return HeartbeatEffect.STALE
        if heartbeat.sequence <= current.sequence:
            return HeartbeatEffect.STALE
        return self._update(heartbeat, current, now_s)

    def restore(self, stored: Heartbeat, now_s: float) -> bool:
        """Restore a target that leaves from its stored entry.

        One that was stored as serving is not restored: it may have left
        since. Returns whether it was restored.
        """
        if stored.state is TargetState.SERVING or self._has_left(stored):
            return False
        self._start(stored, now_s)
        return True

    def receive_leave(self, instance: str, now_s: float, wall_ms: int) -> bool:
        """Record that a target leaves; return whether it is the current one.

        Also recorded for a target without a heartbeat until now, since the
        store may still list it. Its starts up to ``wall_ms`` (Unix
        milliseconds) are not accepted any more, nor is the current one, whose
        clock may be ahead.
        """
        current = self._current
        is_current = current is not None and current.instance == instance
        until_ms = max(wall_ms, current.started_ms) if is_current else wall_ms
        self._set_left(instance, until_ms)
        if is_current and self._leaving_since_s is None:
            self._leaving_since_s = now_s
        return is_current

    def left_until_ms(self, instance: str) -> int:
        """Return the time up to which starts of an instance have left."""
        return self._left_at_ms_by_instance.get(instance, 0)

    def receive_departure(
        self, instance: str, until_ms: int, now_s: float
    ) -> bool:
        """Record another node's word that starts of a target have left.

        It is unknown when they began to leave, so no call is sent to them any
        more. Returns whether the current start was not known to leave.
        """
        known_ms = self.left_until_ms(instance)
        self._set_left(instance, max(known_ms, until_ms))
        current = self._current
        if current is None or self._leaving_since_s is not None:
            return False
        if not self._has_left(current):
            return False
        self._leaving_since_s = now_s - self.bounds.accept_s
        return True

    def receive_leaving_answer(
        self, instance: str, started_ms: int, now_s: float
    ) -> bool:
        """Record that an answer of a start said that the target leaves.

        Returns whether this was not known before of the current start.
        """
        current = self._current
        if current is None or self._leaving_since_s is not None:
            return False
        if (instance, started_ms) != (current.instance, current.started_ms):
            return False
        self._leaving_since_s = now_s
        return True

    def is_leaving(self, instance: str, started_ms: int) -> bool:
        """Return whether this is the current start and it leaves."""
        current = self._current
        if current is None or self._leaving_since_s is None:
            return False
        return (instance, started_ms) == (current.instance, current.started_ms)

    def remove_mismatched(self, instance: str) -> bool:
        """Remove the target if its address turned out to be another one's.

        Returns whether ``instance`` was the current target.
        """
        if self._current is None or self._current.instance != instance:
            return False
        self._mismatched.add((instance, self._current.started_ms))
        self._current = None
        self._leaving_since_s = None
        return True

    def availability(self, now_s: float) -> Availability:
        """Return which calls may be sent to the target now."""
        if self._current is None:
            return Availability.UNKNOWN
        if self._leaving_since_s is None:
            return Availability.SERVING
        if now_s - self._leaving_since_s < self.bounds.accept_s:
            return Availability.LEAVING
        return Availability.LEFT

    def _has_left(self, heartbeat: Heartbeat) -> bool:
        left_ms = self._left_at_ms_by_instance.get(heartbeat.instance)
        return left_ms is not None and heartbeat.started_ms <= left_ms

    def _set_left(self, instance: str, until_ms: int) -> None:
        left_at_ms = self._left_at_ms_by_instance
        left_at_ms.pop(instance, None)
        left_at_ms[instance] = until_ms
        if len(left_at_ms) > _MAX_LEFT_INSTANCES:
            left_at_ms.pop(next(iter(left_at_ms)))

    def _start(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Take over a start; if it leaves, it is unknown since when."""
        self._current = heartbeat
        self._leaving_since_s = None
        if heartbeat.state is TargetState.DRAINING:
            self._leaving_since_s = now_s - self.bounds.accept_s

    def _update(
        self, heartbeat: Heartbeat, current: Heartbeat, now_s: float
    ) -> HeartbeatEffect:
        self._current = heartbeat
        is_draining = heartbeat.state is TargetState.DRAINING
        if is_draining and self._leaving_since_s is None:
            self._leaving_since_s = now_s
            return HeartbeatEffect.CHANGED
        if _published_fields(heartbeat) == _published_fields(current):
            return HeartbeatEffect.NOTHING
        return HeartbeatEffect.CHANGED


def _published_fields(heartbeat: Heartbeat) -> tuple[str, int, bool]:
    """Return what a heartbeat says that other nodes need to know."""
    is_draining = heartbeat.state is TargetState.DRAINING
    return (heartbeat.service, heartbeat.slots, is_draining)
