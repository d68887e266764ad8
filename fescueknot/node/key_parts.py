"""Builds the parts that keep at-most-once keys."""

import dataclasses

from fescueknot.idempotency.terms import Terms
from fescueknot.membership.board import MembershipBoard
from fescueknot.node.control import ControlClient
from fescueknot.node.key_desk import KeyDesk
from fescueknot.node.key_endpoints import KeyEndpoints
from fescueknot.node.key_routes import KeyRoutes
from fescueknot.node.key_steps import KeySteps
from fescueknot.node.key_task import KeyTask
from fescueknot.node.membership_parts import MembershipParts
from fescueknot.node.runtime import Runtime
from fescueknot.settings.sections import Timing


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyParts:
    """The member's desk, its task, its endpoints, and owners of keys."""

    board: MembershipBoard
    desk: KeyDesk
    task: KeyTask
    endpoints: KeyEndpoints
    routes: KeyRoutes


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
    board = membership.board
    desk = KeyDesk(runtime=runtime, board=board, terms=terms)
    key_steps = KeySteps(
        runtime=runtime,
        desk=desk,
        board=board,
        rosters=membership.rosters,
        control=control,
    )
    task = KeyTask(
        runtime=runtime,
        desk=desk,
        board=board,
        key_steps=key_steps,
    )
    return KeyParts(
        board=board,
        desk=desk,
        task=task,
        endpoints=KeyEndpoints(desk=desk, runtime=runtime),
        routes=KeyRoutes(board=board),
    )
