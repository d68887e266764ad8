"""Steps of tests/features/rules.feature."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from fescueknot.clock import ManualClock
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.faults import FaultPlan, FaultyStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules.edit import Applied, ApplyResult, Edit
from fescueknot.rules.errors import BaseMoved, LogUnavailable, RulesError
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_view import RULES_PREFIX, messages_of
from fescueknot.rules.publisher import RulesPublisher

scenarios('rules.feature')


class _Scene:
    def __init__(self) -> None:
        self.memory = MemoryStore()
        self.store = FaultyStore(inner=self.memory)
        self.node = RulesInForce()
        self.results: dict[str, ApplyResult | RulesError] = {}

    def apply(self, author: str, base: int) -> None:
        edit = Edit(
            text=f'calendario GET /events/** class=normal # {author}',
            file='some.rules',
            author=author,
            base_version=base,
        )
        publisher = RulesPublisher(store=self.store, clock=ManualClock())
        try:
            self.results[author] = publisher.apply(edit)
        except RulesError as error:
            self.results[author] = error

    def read(self, store: ObjectStore) -> None:
        try:
            objects = store.list(RULES_PREFIX)
        except ObjectApiError:
            return
        for message in messages_of(objects):
            self.node.offer(message)


@pytest.fixture
def scene() -> _Scene:
    return _Scene()


@given('Marta and Andrés have read version 1')
def both_have_read(scene: _Scene) -> None:
    scene.apply('Inés', 0)


@given('the store loses its answers')
def lose_answers(scene: _Scene) -> None:
    scene.store.set_plan(FaultPlan(lost_answers_ratio=1))


@given('the store returns no newer versions')
def return_stale_reads(scene: _Scene) -> None:
    scene.store.set_plan(FaultPlan(stale_reads=True))


@given('the store is down')
def take_store_down(scene: _Scene) -> None:
    scene.store.set_plan(FaultPlan(down=True))


@given('a node has read the store')
@when('the node reads the store again')
def read_store(scene: _Scene) -> None:
    scene.read(scene.store)


@when(parsers.re('(?P<author>Marta|Andrés) applies (her|his) edit'))
def apply_edit(scene: _Scene, author: str) -> None:
    scene.apply(author, 1)


@when('another node sends the new entry to the node')
def receive_entry(scene: _Scene) -> None:
    scene.node.offer(scene.results['Marta'].entry)


@when('a node with version 1 sends its snapshot to the node')
def receive_old_snapshot(scene: _Scene) -> None:
    lagging = RulesInForce()
    for message in messages_of(scene.store.list(RULES_PREFIX)):
        lagging.offer(message)
    assert lagging.version == 1
    scene.node.offer(lagging.head.snapshot())


@then('Andrés is told that Marta has changed the rules')
def told_base_moved(scene: _Scene) -> None:
    assert isinstance(scene.results['Andrés'], BaseMoved)
    assert 'Marta' in str(scene.results['Andrés'])


@then('Marta is told that version 2 is accepted')
def told_accepted(scene: _Scene) -> None:
    assert isinstance(scene.results['Marta'], Applied)
    assert scene.results['Marta'].entry.version == 2


@then('Marta is told that the log is unavailable and unchanged')
def told_unavailable(scene: _Scene) -> None:
    assert isinstance(scene.results['Marta'], LogUnavailable)


@then(parsers.parse('the node has version {version:d} by {author} in force'))
def has_in_force(scene: _Scene, version: int, author: str) -> None:
    policy = scene.node.rules.match(
        service='calendario', method='GET', path='/events/2026'
    )
    assert scene.node.version == version
    assert policy.requested_by == author


@then('a node that reads the store has version 2 by Marta in force')
def fresh_reader(scene: _Scene) -> None:
    scene.read(scene.memory)
    has_in_force(scene, 2, 'Marta')
