"""Changes of a roster, each one version up.

The functions build the next roster; writing it is a conditional update on
the version that it was built from. The conditions beyond the present states
(sealed, released) are checked by the procedures that call them.
"""

import msgspec

from fescueknot.idempotency.errors import RosterChangeError
from fescueknot.idempotency.losses import expired, lost
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
    """Add a joiner; raise :class:`RosterChangeError` for a member."""
    if roster.find(instance):
        raise RosterChangeError(f'{instance} is on the roster')
    version = roster.version + 1
    joiner = Member(
        instance=instance,
        state=MemberState.JOINING,
        joined_version=version,
    )
    return _next(roster, (*roster.members, joiner))


def serve(roster: Roster, instance: InstanceId) -> Roster:
    """Make a joiner a holder."""
    _expect(roster, instance, MemberState.JOINING)
    changed = _with_state(roster, instance, MemberState.SERVING)
    return msgspec.structs.replace(changed, before=_electorate(roster))


def withdraw(roster: Roster, instance: InstanceId) -> Roster:
    """Take a joiner off the roster."""
    _expect(roster, instance, MemberState.JOINING)
    return _next(roster, _others(roster, instance))


def suspend(roster: Roster, instance: InstanceId) -> Roster:
    """Let the keys of a serving member rest."""
    _expect(roster, instance, MemberState.SERVING)
    return _with_state(roster, instance, MemberState.SUSPENDED)


def resume(roster: Roster, instance: InstanceId) -> Roster:
    """Let a suspended member run its keys again."""
    _expect(roster, instance, MemberState.SUSPENDED)
    return _with_state(roster, instance, MemberState.SERVING)


def remove(
    roster: Roster,
    instance: InstanceId,
    *,
    terms: Terms,
    wall_s: float,
) -> Roster:
    """Take a suspended member off the roster and record its loss."""
    _expect(roster, instance, MemberState.SUSPENDED)
    return _with_loss(
        _without(roster, instance),
        instance,
        before=roster,
        terms=terms,
        wall_s=wall_s,
    )


def leave(roster: Roster, instance: InstanceId) -> Roster:
    """Take a member off that has handed its entries over."""
    return _without(roster, instance)


def leave_with_loss(
    roster: Roster,
    instance: InstanceId,
    *,
    terms: Terms,
    wall_s: float,
) -> Roster:
    """Take a member off that has stopped but couldn't hand over."""
    return _with_loss(
        _without(roster, instance),
        instance,
        before=roster,
        terms=terms,
        wall_s=wall_s,
    )


def _next(roster: Roster, members: tuple[Member, ...]) -> Roster:
    return msgspec.structs.replace(
        roster,
        version=roster.version + 1,
        members=members,
    )


def _expect(
    roster: Roster, instance: InstanceId, expected: MemberState
) -> None:
    found_state = roster.state_of(instance)
    if found_state is not expected:
        raise RosterChangeError(
            f'{instance} is {found_state}, not {expected}',
        )


def _others(roster: Roster, instance: InstanceId) -> tuple[Member, ...]:
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
    return _next(roster, members)


def _electorate(roster: Roster, leaver: InstanceId | None = None) -> Electorate:
    """Return who may still promise for this version once it is past."""
    return Electorate(
        electors=tuple(
            member.instance
            for member in roster.members
            if member.state is MemberState.SERVING and member.instance != leaver
        ),
        quorum=roster.electorate.quorum,
    )


def _without(roster: Roster, instance: InstanceId) -> Roster:
    if instance not in roster.holders:
        raise RosterChangeError(f'{instance} holds no keys')
    return msgspec.structs.replace(
        _next(roster, _others(roster, instance)),
        before=_electorate(roster, leaver=instance),
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
        if not expired(loss, terms=terms, wall_s=wall_s)
    )
    record = lost(instance, roster=before, terms=terms, wall_s=wall_s)
    return msgspec.structs.replace(changed, losses=(*kept, record))
