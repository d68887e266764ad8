"""Probes a member of the roster and reports suspected members."""

from fescueknot.idempotency.member import KeyMember
from fescueknot.identity import InstanceId
from fescueknot.membership.published import PublishedMembership
from fescueknot.node.member_suspicion import MemberSuspicion
from fescueknot.node.runtime import Runtime
from fescueknot.node.step_executor import StepExecutor

_PERIOD_S = 3.0


class MemberMonitor:
    """Probes the next member at intervals; returns suspected members."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        published: PublishedMembership,
        step_executor: StepExecutor,
    ) -> None:
        self._runtime = runtime
        self._published = published
        self._step_executor = step_executor
        self._suspicion = MemberSuspicion(started_s=runtime.now_s())
        self._next_probe_s: float = 0

    def probe(self, member: InstanceId | None) -> None:
        """Probe ``member`` if a probe is due."""
        now_s = self._runtime.now_s()
        if member is None or now_s < self._next_probe_s:
            return
        self._next_probe_s = now_s + _PERIOD_S
        reachable = self._step_executor.is_reachable(member)
        self._suspicion.record(member, reachable=reachable, now_s=now_s)

    def member_to_probe(self, member: KeyMember) -> InstanceId | None:
        """Return the member that this node probes."""
        local = self._runtime.instance
        return self._suspicion.member_to_probe(member.view.roster, local)

    def suspects(self, member: KeyMember) -> tuple[InstanceId, ...]:
        """Return the members of the roster that are suspected."""
        return self._suspicion.suspects(
            member.view.roster,
            self._published.instances(self._runtime.service),
            now_s=self._runtime.now_s(),
        )
