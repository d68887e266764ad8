"""Signs of life between the members of a roster."""

from fescueknot.idempotency.member import KeyMember
from fescueknot.identity import InstanceId
from fescueknot.membership.board import MembershipBoard
from fescueknot.node.key_steps import StepExecutor
from fescueknot.node.key_suspicion import MemberSuspicion
from fescueknot.node.runtime import Runtime

_PERIOD_S = 3.0


class MemberMonitor:
    """Asks the next member for a sign of life, and names suspects."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        board: MembershipBoard,
        step_executor: StepExecutor,
    ) -> None:
        self._runtime = runtime
        self._board = board
        self._step_executor = step_executor
        self._suspicion = MemberSuspicion(started_s=runtime.now_s())
        self._next_probe_s: float = 0

    def probe(self, member: InstanceId | None) -> None:
        """Ask ``member`` for a sign of life, if that is due."""
        now_s = self._runtime.now_s()
        if member is None or now_s < self._next_probe_s:
            return
        self._next_probe_s = now_s + _PERIOD_S
        reachable = self._step_executor.is_reachable(member)
        self._suspicion.record(member, reachable=reachable, now_s=now_s)

    def member_to_probe(self, member: KeyMember) -> InstanceId | None:
        """Return whom this member asks."""
        local = self._runtime.instance
        return self._suspicion.member_to_probe(member.view.roster, local)

    def suspects(self, member: KeyMember) -> tuple[InstanceId, ...]:
        """Return the members of the roster that seem to be gone."""
        return self._suspicion.suspects(
            member.view.roster,
            self._board.instances(self._runtime.service),
            now_s=self._runtime.now_s(),
        )
