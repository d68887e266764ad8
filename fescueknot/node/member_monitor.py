"""Signs of life between the members of a roster."""

from fescueknot.idempotency.member import KeyMember
from fescueknot.identity import InstanceId
from fescueknot.membership.published import PublishedMembership
from fescueknot.node.member_suspicion import KeySuspicion
from fescueknot.node.runtime import Runtime
from fescueknot.node.step_executor import KeySteps

_PERIOD_S = 3.0


class KeyWatch:
    """Asks the next member for a sign of life, and names suspects."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        published: PublishedMembership,
        key_steps: KeySteps,
    ) -> None:
        self._runtime = runtime
        self._published = published
        self._steps = key_steps
        self._suspicion = KeySuspicion(started_s=runtime.now_s())
        self._due_at_s: float = 0

    def ask(self, member: InstanceId | None) -> None:
        """Ask ``member`` for a sign of life, if that is due."""
        now_s = self._runtime.now_s()
        if member is None or now_s < self._due_at_s:
            return
        self._due_at_s = now_s + _PERIOD_S
        reachable = self._steps.is_reachable(member)
        self._suspicion.note(member, reachable=reachable, now_s=now_s)

    def watched(self, member: KeyMember) -> InstanceId | None:
        """Return whom this member asks."""
        own = self._runtime.instance
        return self._suspicion.watched(member.view.roster, own)

    def suspects(self, member: KeyMember) -> tuple[InstanceId, ...]:
        """Return the members of the roster that seem to be gone."""
        return self._suspicion.suspects(
            member.view.roster,
            self._published.instances(self._runtime.service),
            now_s=self._runtime.now_s(),
        )
