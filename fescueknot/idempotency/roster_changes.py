"""Changes of a roster; each increases the version by one.

The functions return the next roster. It is written by a conditional update on
the version that it was built from. The functions check the state of the
member; the procedures that call them check that the version is sealed (no lease
on an older version can remain) and that all releases have been received.
"""

import msgspec

from fescueknot.idempotency.errors import RosterChangeError
from fescueknot.idempotency.losses import is_expired, loss_record
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Electorate, Member, MemberState, Roster


def create_roster(*, service: str, instance: InstanceId) -> Roster:
    """Return the first roster of a service with one holder."""
    return Roster(
        service=service,
        version=1,
        members=(Member(instance=instance, joined_version=1),),
    )


def join(roster: Roster, instance: InstanceId) -> Roster:
    """Add a joiner.

    Raise :class:`RosterChangeError` if it is already a member.
    """
    if roster.find(instance):
        raise RosterChangeError(f'{instance} is already on the roster')
    version = roster.version + 1
    joiner = Member(
        instance=instance,
        state=MemberState.JOINING,
        joined_version=version,
    )
    return _next_version(roster, (*roster.members, joiner))


def start_serving(roster: Roster, instance: InstanceId) -> Roster:
    """Make a joiner a holder."""
    _require_state(roster, instance, MemberState.JOINING)
    changed = _with_state(roster, instance, MemberState.SERVING)
    return msgspec.structs.replace(changed, before=_former_electorate(roster))


def withdraw(roster: Roster, instance: InstanceId) -> Roster:
    """Remove a joiner from the roster."""
    _require_state(roster, instance, MemberState.JOINING)
    return _next_version(roster, _members_without(roster, instance))


def suspend(roster: Roster, instance: InstanceId) -> Roster:
    """Suspend a serving member: it keeps its keys but runs none."""
    _require_state(roster, instance, MemberState.SERVING)
    return _with_state(roster, instance, MemberState.SUSPENDED)


def resume(roster: Roster, instance: InstanceId) -> Roster:
    """Let a suspended member run its keys again."""
    _require_state(roster, instance, MemberState.SUSPENDED)
    return _with_state(roster, instance, MemberState.SERVING)


def remove(
    roster: Roster,
    instance: InstanceId,
    *,
    terms: Terms,
    wall_s: float,
) -> Roster:
    """Remove a suspended member from the roster and record its loss."""
    _require_state(roster, instance, MemberState.SUSPENDED)
    return _with_loss(
        _without_holder(roster, instance),
        instance,
        before=roster,
        terms=terms,
        wall_s=wall_s,
    )


def leave(roster: Roster, instance: InstanceId) -> Roster:
    """Remove a member that has handed its entries over."""
    return _without_holder(roster, instance)


def leave_with_loss(
    roster: Roster,
    instance: InstanceId,
    *,
    terms: Terms,
    wall_s: float,
) -> Roster:
    """Remove a member that has stopped without handing entries over.

    Its loss is recorded.
    """
    return _with_loss(
        _without_holder(roster, instance),
        instance,
        before=roster,
        terms=terms,
        wall_s=wall_s,
    )


def _next_version(roster: Roster, members: tuple[Member, ...]) -> Roster:
    return msgspec.structs.replace(
        roster,
        version=roster.version + 1,
        members=members,
    )


def _require_state(
    roster: Roster, instance: InstanceId, expected: MemberState
) -> None:
    state = roster.state_of(instance)
    if state is not expected:
        raise RosterChangeError(
            f'{instance} is in state {state}, expected {expected}',
        )


def _members_without(
    roster: Roster, instance: InstanceId
) -> tuple[Member, ...]:
    return tuple(
        member for member in roster.members if member.instance != instance
    )


def _with_state(
    roster: Roster,
    instance: InstanceId,
    state: MemberState,
) -> Roster:
    members = tuple(
        msgspec.structs.replace(member, state=state)
        if member.instance == instance
        else member
        for member in roster.members
    )
    return _next_version(roster, members)


def _former_electorate(
    roster: Roster, leaver: InstanceId | None = None
) -> Electorate:
    """Return the electors that may still promise for this version.

    It is stored in the next version as the electorate before the change.
    """
    return Electorate(
        electors=tuple(
            member.instance
            for member in roster.members
            if member.state is MemberState.SERVING and member.instance != leaver
        ),
        quorum=roster.electorate.quorum,
    )


def _without_holder(roster: Roster, instance: InstanceId) -> Roster:
    if instance not in roster.holders:
        raise RosterChangeError(f'{instance} is not a holder of keys')
    return msgspec.structs.replace(
        _next_version(roster, _members_without(roster, instance)),
        before=_former_electorate(roster, leaver=instance),
    )


def _with_loss(
    changed: Roster,
    instance: InstanceId,
    *,
    before: Roster,
    terms: Terms,
    wall_s: float,
) -> Roster:
    kept = tuple(
        loss
        for loss in before.losses
        if not is_expired(loss, terms=terms, wall_s=wall_s)
    )
    record = loss_record(instance, roster=before, terms=terms, wall_s=wall_s)
    return msgspec.structs.replace(changed, losses=(*kept, record))
