"""Builds the parts that keep at-most-once keys."""

import dataclasses

from fescueknot.idempotency.terms import Terms
from fescueknot.membership.published import PublishedMembership
from fescueknot.node.control import ControlClient
from fescueknot.node.key_endpoints import KeyEndpoints
from fescueknot.node.key_owners import KeyOwners
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.membership_components import MembershipParts
from fescueknot.node.roster_task import KeyTask
from fescueknot.node.runtime import Runtime
from fescueknot.node.step_executor import KeySteps
from fescueknot.settings.sections import Timing


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyParts:
    """The member's desk, its task, its endpoints, and owners of keys."""

    published: PublishedMembership
    desk: LockedKeyMember
    task: KeyTask
    endpoints: KeyEndpoints
    routes: KeyOwners


def build_key_parts(
    *,
    runtime: Runtime,
    timing: Timing,
    membership: MembershipParts,
    control: ControlClient,
) -> KeyParts:
    """Return the parts; the task is not started."""
    terms = Terms(
        lease_s=timing.lease_s,
        key_skew_s=timing.key_skew_s,
        retention_s=timing.retention_s,
    )
    published = membership.published
    desk = LockedKeyMember(runtime=runtime, published=published, terms=terms)
    key_steps = KeySteps(
        runtime=runtime,
        desk=desk,
        published=published,
        rosters=membership.rosters,
        control=control,
    )
    task = KeyTask(
        runtime=runtime,
        desk=desk,
        published=published,
        key_steps=key_steps,
    )
    return KeyParts(
        published=published,
        desk=desk,
        task=task,
        endpoints=KeyEndpoints(desk=desk, runtime=runtime),
        routes=KeyOwners(published=published),
    )
