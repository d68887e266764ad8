"""One host of a replay: the decision objects of its node, and its target."""

from collections.abc import Iterator

from fescueknot.admission.messages import Completion, FinalDecision
from fescueknot.idempotency.member import KeyMember
from fescueknot.identity import InstanceId, Place
from fescueknot.node.downstream_levels import DownstreamLevels
from fescueknot.replay.condition import Condition
from fescueknot.replay.engine import Engine, Pause, Signal
from fescueknot.replay.events import HostUp
from fescueknot.replay.line import Line
from fescueknot.replay.mechanisms import Mechanisms
from fescueknot.replay.target_slots import TargetSlots

_TICK_S = 0.01


class Host:
    """A node and its target."""

    def __init__(
        self, *, up: HostUp, engine: Engine, mechanisms: Mechanisms
    ) -> None:
        self.up = up
        self.instance = InstanceId(name=up.name, incarnation=up.incarnation)
        self.gate = mechanisms.gate(up.slots)
        self.guard = mechanisms.run_guard()
        self.rules = mechanisms.rules()
        self.levels = DownstreamLevels(apply_downstream_level=self.gate.heed)
        self.lines: dict[str, Line] = {}
        self.member: KeyMember | None = None
        self.condition = Condition()
        self.slots = TargetSlots(
            slots=up.slots, queue_limit=up.queue_limit, engine=engine
        )
        self._engine = engine
        self._waiting: dict[str, Signal] = {}

    @property
    def place(self) -> Place:
        """Return where the host stands."""
        return Place(
            region=self.up.region, failure_domain=self.up.failure_domain
        )

    @property
    def paused(self) -> bool:
        """Return whether the host does nothing now."""
        return self._engine.now_s < self.condition.paused_until_s

    @property
    def reachable(self) -> bool:
        """Return whether the host answers others now."""
        return not (self.condition.gone or self.paused)

    def awake(self) -> Iterator[Pause]:
        """Wait until the host is not paused."""
        while self.paused and not self.condition.gone:
            yield Pause(
                wait_s=self.condition.paused_until_s - self._engine.now_s
            )

    def wait_in_line(self, ticket: str) -> Signal:
        """Return the signal of a waiting request's decision."""
        signal = self._engine.signal()
        self._waiting[ticket] = signal
        self._engine.call_at(self._engine.now_s, self._tick)
        return signal

    def finish(self, ticket: str, completion: Completion) -> None:
        """Tell the gate how an admitted request ended."""
        now_s = self._engine.now_s
        self._settle(self.gate.finish(ticket, completion, now_s))

    def _tick(self) -> None:
        self._settle(self.gate.expire(self._engine.now_s))
        if self._waiting:
            self._engine.call_at(self._engine.now_s + _TICK_S, self._tick)

    def _settle(self, decisions: tuple[FinalDecision, ...]) -> None:
        for decision in decisions:
            waiting = self._waiting.pop(decision.ticket, None)
            if waiting is not None:
                waiting.fire(decision)
