"""Each fault alone and in pairs, with a service of three members.

A random walk takes steps of the explicit model; the faults are active during
``FAULTY_TICKS``. The model checks the guarantees at each step. After the
faults have ended, every serving member must begin a new key within
``RECOVERY_TICKS``.
"""

import itertools
import random
import types
from collections.abc import Callable

import pytest

from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.terms import Terms
from fescueknot.idempotency.verdicts import Run, Verdict
from fescueknot.roster import MemberState
from tests.idempotency.explicit.parts import (
    Action,
    KeySpec,
    find_key,
    instance,
)
from tests.idempotency.explicit.world import World

TERMS = Terms(
    lease_s=2,
    margin_s=0,
    outage_limit_s=12,
    retention_s=1000,
    key_skew_s=0,
    clock_tolerance_s=0,
)
MEMBERS = 'XYZ'
JOINER = 'W'
ALL = MEMBERS + JOINER
FRESH_TICKS = range(2, 10, 2)
FRESH_KEYS = tuple(f'made at {tick}' for tick in FRESH_TICKS)
KEYS = ('old', *FRESH_KEYS)
SEEDS = range(12)
STEPS_PER_TICK = 25
FAULTY_TICKS = range(2, 9)
WALK_TICKS = 12
RECOVERY_TICKS = 30

_MEMBER_KINDS = (
    'read',
    'receive',
    'read_now',
    'apply',
    'apply_and_adopt',
    'lose_answers',
)
_PEER_KINDS = (
    'gossip',
    'acknowledge',
    'request',
    'grant',
    'release',
    'deliver',
)
_KEY_KINDS = (
    *('run',) * 4,
    *('submit', 'start') * 2,
    'start_copy',
    'shed',
    'answer',
)
_STORE_KINDS = frozenset(
    ('read', 'receive', 'read_now', 'apply', 'apply_and_adopt')
)


def _actions() -> tuple[Action, ...]:
    member_actions = itertools.product(
        (*_MEMBER_KINDS * 4, 'resume'), ALL, ('',)
    )
    peer_actions = (
        (kind, actor, other)
        for kind, actor, other in itertools.product(_PEER_KINDS, ALL, ALL)
        if actor != other
    )
    key_actions = itertools.product(_KEY_KINDS, ALL, KEYS)
    changes = (('join', JOINER, ''), ('leave', 'Z', ''))
    takeovers = itertools.product(('takeover',) * 10, 'YW', 'X')
    return tuple(
        Action(kind=kind, actor=actor, other=other)
        for kind, actor, other in itertools.chain(
            member_actions, peer_actions, key_actions, changes, takeovers
        )
    )


ACTIONS = _actions()

# Whether a fault prevents an action.
FAULTS: types.MappingProxyType[str, Callable[[Action], bool]] = (
    types.MappingProxyType(
        {
            'owner unresponsive': lambda action: action.actor == 'X',
            'store down': lambda action: action.kind in _STORE_KINDS,
            'owner cut off from peers': lambda action: (
                action.kind in _PEER_KINDS
                and 'X' in action.actor + action.other
            ),
            'owner cut off from the store': lambda action: (
                action.kind in _STORE_KINDS and action.actor == 'X'
            ),
            'store answers lost': lambda action: (
                action.kind in {'apply_and_adopt', 'read_now'}
            ),
            'store readings late': lambda action: (
                action.kind in {'receive', 'read_now'}
            ),
            'target answers lost': lambda action: action.kind == 'answer',
            'dispatches late': lambda action: action.kind in {'start', 'run'},
            'new owners fail': lambda action: action.actor in {'Y', 'W'},
            'no planned leave': lambda action: action.kind == 'leave',
        }
    )
)
PAIRS = tuple(itertools.combinations_with_replacement(FAULTS, 2))


def _world() -> World:
    return World(
        holders=MEMBERS,
        non_members=JOINER,
        keys=(
            KeySpec(name='old'),
            *(
                KeySpec(name=name, made_at_s=tick, usable_from_s=tick)
                for tick, name in zip(FRESH_TICKS, FRESH_KEYS, strict=True)
            ),
        ),
        budgets={'leave': 6},
        terms=TERMS,
    )


def _random_walk(world: World, faults: tuple[str, ...], seed: int) -> None:
    generator = random.Random(seed)
    for tick in range(WALK_TICKS):
        blocked = faults if tick in FAULTY_TICKS else ()
        for action in generator.choices(ACTIONS, k=STEPS_PER_TICK * 10):
            if not _is_blocked(action, blocked) and world.allowed(action):
                world.perform(action)
        world.perform(Action(kind='tick'))


def _is_blocked(action: Action, faults: tuple[str, ...]) -> bool:
    return any(FAULTS[fault](action) for fault in faults)


def _recover(world: World) -> None:
    """Let every member take its pending steps during the recovery time."""
    world.budgets.clear()
    for _ in range(RECOVERY_TICKS):
        for actor in ALL:
            world.perform(Action(kind='read_now', actor=actor))
            _take_recovery_steps(world, actor)
        world.perform(Action(kind='tick'))
    for actor in ALL:
        world.perform(Action(kind='read_now', actor=actor))


def _take_recovery_steps(world: World, actor: str) -> None:
    leaving = world.hosts[actor].leaving is not None
    steps = [('apply', ''), ('resume_now', '')]
    if leaving:
        steps = [('apply', ''), ('lose_answers', ''), ('leave_now', '')]
    elif world.store.state_of(instance(actor)) is not MemberState.SERVING:
        steps.append(('join_now', ''))
    for other in ALL.replace(actor, ''):
        steps.extend(
            (kind, other) for kind in ('acknowledge', 'release', 'deliver')
        )
    for kind, other in steps:
        action = Action(kind=kind, actor=actor, other=other)
        if world.allowed(action):
            world.perform(action)


def _begins_new_keys(world: World, name: str) -> bool:
    gate = world.gate(name)
    keys = (
        KeySpec(name=f'{name}{number}', made_at_s=world.now_s)
        for number in range(64)
    )
    return any(isinstance(_decide(world, gate, key), Run) for key in keys)


def _decide(world: World, gate: AtMostOnceGate, spec: KeySpec) -> Verdict:
    return gate.decide(
        find_key(spec),
        fingerprint=b'',
        now_s=world.now_s,
        wall_s=world.now_s,
    )


class TestFaultPairs:
    """No guarantee is broken, and the service recovers."""

    @pytest.mark.parametrize('faults', PAIRS, ids=' and '.join)
    def test_no_violation_and_new_keys_run_after_recovery(
        self, faults: tuple[str, ...]
    ) -> None:
        for seed in SEEDS:
            world = _world()
            _random_walk(world, faults, seed)
            _recover(world)
            serving = [
                member.instance.name
                for member in world.store.members
                if member.state is MemberState.SERVING
            ]
            assert serving
            assert all(_begins_new_keys(world, name) for name in serving)
