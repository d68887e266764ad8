"""Builds the components that run keys at most once."""

import dataclasses

from fescueknot.idempotency.terms import Terms
from fescueknot.membership.published import PublishedMembership
from fescueknot.node.control import ControlClient
from fescueknot.node.key_endpoints import KeyEndpoints
from fescueknot.node.key_owners import KeyOwners
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.membership_components import MembershipComponents
from fescueknot.node.roster_task import RosterTask
from fescueknot.node.runtime import Runtime
from fescueknot.node.step_executor import StepExecutor
from fescueknot.settings.sections import Timing


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyComponents:
    """The key member, its task, its endpoints, and owners of keys."""

    published: PublishedMembership
    key_member: LockedKeyMember
    roster_task: RosterTask
    endpoints: KeyEndpoints
    owners: KeyOwners


def build_key_components(
    *,
    runtime: Runtime,
    timing: Timing,
    membership: MembershipComponents,
    control: ControlClient,
) -> KeyComponents:
    """Return the components; the task is not started."""
    terms = Terms(
        lease_s=timing.lease_s,
        key_skew_s=timing.key_skew_s,
        retention_s=timing.retention_s,
    )
    published = membership.published
    key_member = LockedKeyMember(
        runtime=runtime, published=published, terms=terms
    )
    step_executor = StepExecutor(
        runtime=runtime,
        key_member=key_member,
        published=published,
        roster_writer=membership.roster_writer,
        control=control,
    )
    roster_task = RosterTask(
        runtime=runtime,
        key_member=key_member,
        published=published,
        step_executor=step_executor,
    )
    return KeyComponents(
        published=published,
        key_member=key_member,
        roster_task=roster_task,
        endpoints=KeyEndpoints(key_member=key_member, runtime=runtime),
        owners=KeyOwners(published=published),
    )
