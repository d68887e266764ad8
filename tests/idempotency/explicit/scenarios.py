"""Scenarios of the explicit check: their members and possible steps."""

import dataclasses

from fescueknot.idempotency.terms import Terms
from tests.idempotency.explicit.explorer import Explorer, Report
from tests.idempotency.explicit.parts import Action, KeySpec
from tests.idempotency.explicit.world import World

# One unit of time is a lease. Margins are 0, so that limits are exact.
TERMS = Terms(
    lease_s=1,
    margin_s=0,
    outage_limit_s=100,
    retention_s=1000,
    key_skew_s=0,
    clock_tolerance_s=0,
)
_MAX_STATES = 40_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A small model, its possible steps, and what they must reach."""

    name: str
    holders: str
    non_members: str = ''
    healthy: str = ''
    keys: tuple[KeySpec, ...]
    actions: str
    ticks: int
    budgets: tuple[tuple[str, int], ...] = ()
    must_reach: frozenset[str]

    def run(self) -> Report:
        """Explore all interleavings."""
        world = World(
            holders=self.holders,
            non_members=self.non_members,
            keys=self.keys,
            budgets={'tick': self.ticks, **dict(self.budgets)},
            terms=TERMS,
            healthy=self.healthy,
        )
        explorer = Explorer(
            actions=_parse(self.actions),
            max_states=_MAX_STATES,
        )
        return explorer.explore(world)


def _parse(text: str) -> tuple[Action, ...]:
    lines = filter(None, map(str.strip, text.splitlines()))
    actions = [Action(kind='tick')]
    for line in lines:
        words = line.split()
        words.extend(('', ''))
        kind, actor, other, *_ = words
        actions.append(Action(kind=kind, actor=actor, other=other))
    return tuple(actions)


FRESH = KeySpec(
    name='fresh',
    made_at_s=1,
    usable_from_s=1,
    owners=(('XY', 'X'), ('Y', 'Y')),
)
UNTIMED = KeySpec(name='old', owners=(('XY', 'X'), ('Y', 'Y')))

_STALE_OWNER = Scenario(
    name='a new key at an outdated owner and at its successor',
    holders='XY',
    healthy='Y',
    keys=(FRESH,),
    actions="""
        read X
        receive X
        takeover_now Y X
        acknowledge X Y
        submit X fresh
        submit Y fresh
        start X fresh
        start Y fresh
    """,
    ticks=2,
    budgets=(
        ('read X', 1),
        ('takeover_now', 2),
        ('submit X fresh', 1),
        ('submit Y fresh', 1),
    ),
    must_reach=frozenset(('run fresh at X', 'run fresh at Y', 'removed X')),
)

_LOST_OWNER = Scenario(
    name='a key of a removed owner is sent again',
    holders='XY',
    healthy='Y',
    keys=(UNTIMED,),
    actions="""
        read_now X
        takeover_now Y X
        submit X old
        submit Y old
        start X old
        start_copy X old
        shed X old
        answer X old
        lose_answers X
        start Y old
    """,
    ticks=1,
    budgets=(('submit X old', 2), ('submit Y old', 1)),
    must_reach=frozenset(
        ('run old at X', 'final old', 'removed X', 'repeat old')
    ),
)

_RACING_WRITES = Scenario(
    name='delayed roster writes of a takeover and of the suspect',
    holders='XY',
    healthy='Y',
    keys=(FRESH,),
    actions="""
        read_now X
        takeover Y X
        apply Y
        resume X
        apply X
        submit X fresh
        submit Y fresh
        start X fresh
        start Y fresh
    """,
    ticks=2,
    budgets=(
        ('read_now X', 2),
        ('takeover', 3),
        ('resume', 1),
        ('submit X fresh', 1),
        ('submit Y fresh', 1),
    ),
    must_reach=frozenset(
        ('run fresh at X', 'run fresh at Y', 'removed X', 'serving X')
    ),
)

_PROMISES = Scenario(
    name='an owner without the store runs on promises',
    holders='XYZ',
    healthy='Y',
    keys=(
        KeySpec(
            name='fresh',
            made_at_s=1,
            usable_from_s=1,
            owners=(('XYZ', 'X'), ('YZ', 'Y')),
        ),
    ),
    actions="""
        request X Z
        grant Z X
        takeover_now Y X
        gossip Y Z
        acknowledge Z Y
        run X fresh
        run Y fresh
    """,
    ticks=2,
    budgets=(
        ('request', 1),
        ('acknowledge', 1),
        ('takeover_now', 2),
        ('gossip', 1),
        ('run X fresh', 1),
        ('run Y fresh', 1),
    ),
    must_reach=frozenset(('run fresh at X', 'run fresh at Y', 'removed X')),
)

_MOVED = KeySpec(name='moved', owners=(('P', 'P'), ('PY', 'Y')))

_JOIN = Scenario(
    name='a key moves to a joiner',
    holders='P',
    non_members='Y',
    healthy='Y',
    keys=(_MOVED,),
    actions="""
        read_now P
        join_now Y
        release P Y
        deliver P Y
        acknowledge P Y
        submit P moved
        start P moved
        answer P moved
        lose_answers P
        submit Y moved
        start Y moved
    """,
    ticks=1,
    budgets=(
        ('release', 1),
        ('submit P moved', 1),
        ('submit Y moved', 1),
    ),
    must_reach=frozenset(
        (
            'run moved at P',
            'run moved at Y',
            'serving Y',
            'repeat moved',
            'final moved',
        )
    ),
)

_REJOIN = Scenario(
    name='a joiner is withdrawn and joins again',
    holders='P',
    non_members='QY',
    healthy='Q',
    keys=(_MOVED,),
    actions="""
        read_now P
        read_now Y
        join_now Y
        takeover_now Q Y
        release P Y
        deliver P Y
        acknowledge P Y
        run P moved
        run Y moved
    """,
    ticks=0,
    budgets=(
        ('run P moved', 1),
        ('run Y moved', 1),
        ('takeover_now', 1),
        ('release', 1),
    ),
    must_reach=frozenset(
        ('run moved at P', 'run moved at Y', 'serving Y', 'removed Y')
    ),
)

_LEAVE = Scenario(
    name='an owner leaves with its ledger handed over',
    holders='XY',
    healthy='Y',
    keys=(UNTIMED,),
    actions="""
        read_now X
        leave_now X
        deliver X Y
        acknowledge Y X
        submit X old
        start X old
        answer X old
        lose_answers X
        submit Y old
        start Y old
    """,
    ticks=1,
    budgets=(('submit X old', 1), ('submit Y old', 1)),
    must_reach=frozenset(
        ('run old at X', 'run old at Y', 'removed X', 'repeat old', 'final old')
    ),
)

_LEAVE_AND_JOIN = Scenario(
    name='an owner leaves while another member joins',
    holders='XP',
    non_members='Y',
    healthy='XPY',
    keys=(
        KeySpec(
            name='old',
            owners=(('XP', 'X'), ('XPY', 'X'), ('P', 'P'), ('PY', 'Y')),
        ),
    ),
    actions="""
        leave_now X
        join_now Y
        release P Y
        release X Y
        deliver P Y
        deliver X Y
        deliver X P
        submit X old
        start X old
        answer X old
        run P old
        run Y old
    """,
    ticks=0,
    budgets=(
        ('submit X old', 1),
        ('run P old', 1),
        ('run Y old', 1),
        ('release P Y', 1),
        ('release X Y', 1),
    ),
    must_reach=frozenset(
        ('run old at X', 'run old at Y', 'removed X', 'serving Y', 'repeat old')
    ),
)

_LOSS_AND_JOIN = Scenario(
    name='an owner is removed while another member joins',
    holders='XP',
    non_members='Y',
    healthy='PY',
    keys=(
        KeySpec(
            name='old',
            owners=(('XP', 'X'), ('XPY', 'X'), ('P', 'P'), ('PY', 'Y')),
        ),
    ),
    actions="""
        read_now X
        takeover_now P X
        join_now Y
        release_now P Y
        release_now X Y
        run X old
        run Y old
    """,
    ticks=1,
    budgets=(
        ('read_now X', 1),
        ('release_now P Y', 1),
        ('release_now X Y', 1),
        ('run X old', 1),
        ('run Y old', 1),
    ),
    must_reach=frozenset(
        ('run old at X', 'final old', 'removed X', 'serving Y')
    ),
)

SCENARIOS = (
    _STALE_OWNER,
    _LOST_OWNER,
    _RACING_WRITES,
    _PROMISES,
    _JOIN,
    _REJOIN,
    _LEAVE,
    _LEAVE_AND_JOIN,
    _LOSS_AND_JOIN,
)
