"""What the load figures of the target on this host say about its speed."""

from fescueknot.admission.host_speed import HostSpeed
from fescueknot.relay.messages import Call, Ending, Reply
from fescueknot.relay.observer import Observer

# A target may send absurd figures with each answer.
_NOTE_INTERVAL_S = 1.0


class TargetSpeed:
    """Speed claims of the current start of the target.

    Absurd figures are ignored and counted.
    """

    def __init__(self, *, observer: Observer) -> None:
        self._observer = observer
        self._start: tuple[str, int] | None = None
        self._speed: HostSpeed | None = None
        self._ignored = 0
        self._noted_s = float('-inf')

    @property
    def ignored(self) -> int:
        """Return how many answers had absurd figures."""
        return self._ignored

    def record(
        self, call: Call, reply: Reply, service_s: float, now_s: float
    ) -> None:
        """Record the figures of an answer, if it has four."""
        figures = reply.figures
        if figures is None:
            return
        if figures.is_absurd:
            self._count_ignored(call, now_s)
            return
        speed = self._speed_of((call.head.instance, call.head.started_ms))
        speed.record(figures.work_percent, now_s)
        if reply.head.ending is Ending.ANSWERED:
            speed.add_time(figures.work_percent, service_s)

    def correction(self, call: Call, now_s: float) -> float | None:
        """Return the factor for measured times, ``None`` without figures."""
        if self._speed is None or not self._speed.has_claim(now_s):
            return None
        if self._start != (call.head.instance, call.head.started_ms):
            return None
        return self._speed.correction(now_s)

    def _speed_of(self, start: tuple[str, int]) -> HostSpeed:
        if self._speed is None or start != self._start:
            self._start = start
            self._speed = HostSpeed()
        return self._speed

    def _count_ignored(self, call: Call, now_s: float) -> None:
        self._ignored += 1
        if now_s - self._noted_s < _NOTE_INTERVAL_S:
            return
        self._noted_s = now_s
        self._observer.note(
            'load.ignored', instance=call.head.instance, count=self._ignored
        )
