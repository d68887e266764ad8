"""The decision code that a replay runs.

A subclass may break one mechanism, to show that the replay notices.
"""

from fescueknot.admission.adaptive import AdaptiveLimit, LimitSettings
from fescueknot.admission.gate import AdmissionGate
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.run_guard import RunGuard
from fescueknot.identity import InstanceId
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.retries.policy import RetryPolicy
from fescueknot.roster import Roster
from fescueknot.routing.picker import TargetPicker
from fescueknot.routing.subset import Viewpoint
from fescueknot.rules.in_force import RulesInForce


class Mechanisms:
    """Makes the real decision objects."""

    def gate(self, slots: int) -> AdmissionGate:
        """Return the admission gate of one host."""
        settings = LimitSettings(initial=slots)
        return AdmissionGate(limit=AdaptiveLimit(settings=settings))

    def allotment(self, attempts: int) -> RetryAllotment:
        """Return the allotment of one call."""
        return RetryAllotment(attempts=attempts)

    def retry_policy(self) -> RetryPolicy:
        """Return the policy of one node for one service."""
        return RetryPolicy()

    def picker(self, viewpoint: Viewpoint) -> TargetPicker:
        """Return the picker of one node for one service."""
        return TargetPicker(viewpoint=viewpoint)

    def member(
        self, instance: InstanceId, roster: Roster, now_s: float
    ) -> KeyMember:
        """Return the at-most-once member of one host."""
        return KeyMember(instance=instance, roster=roster, now_s=now_s)

    def run_guard(self) -> RunGuard:
        """Return the guard before the target of one host."""
        return RunGuard()

    def rules(self) -> RulesInForce:
        """Return the rules of one node."""
        return RulesInForce()

    def refuses_when_draining(self) -> bool:
        """Return whether a node closes its door when it is drained."""
        return True

    def waits_for_runs(self) -> bool:
        """Return whether a drained host lets its requests finish."""
        return True
