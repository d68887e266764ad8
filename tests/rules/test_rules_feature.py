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


class _Scenario:
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
            listing = store.list(RULES_PREFIX)
        except ObjectApiError:
            return
        for message in messages_of(listing):
            self.node.offer(message)


@pytest.fixture
def scenario() -> _Scenario:
    return _Scenario()


@given('Marta and Andrés have read version 1')
def operators_have_read_version(scenario: _Scenario) -> None:
    scenario.apply('Inés', 0)


@given('the store loses its answers')
def store_loses_answers(scenario: _Scenario) -> None:
    scenario.store.set_plan(FaultPlan(lost_answers_ratio=1))


@given('the store returns no newer versions')
def store_has_stale_reads(scenario: _Scenario) -> None:
    scenario.store.set_plan(FaultPlan(stale_reads=True))


@given('the store is down')
def store_is_down(scenario: _Scenario) -> None:
    scenario.store.set_plan(FaultPlan(down=True))


@given('a node has read the store')
@when('the node reads the store again')
def node_reads_store(scenario: _Scenario) -> None:
    scenario.read(scenario.store)


@when(parsers.re('(?P<author>Marta|Andrés) applies (her|his) edit'))
def operator_applies_edit(scenario: _Scenario, author: str) -> None:
    scenario.apply(author, 1)


@when('another node sends the new entry to the node')
def node_receives_entry(scenario: _Scenario) -> None:
    scenario.node.offer(scenario.results['Marta'].entry)


@when('a node with version 1 sends its snapshot to the node')
def lagging_node_sends_snapshot(scenario: _Scenario) -> None:
    lagging = RulesInForce()
    for message in messages_of(scenario.store.list(RULES_PREFIX)):
        lagging.offer(message)
    assert lagging.version == 1
    scenario.node.offer(lagging.head.snapshot())


@then('Andrés is told that Marta has changed the rules')
def edit_is_refused_with_other_author(scenario: _Scenario) -> None:
    assert isinstance(scenario.results['Andrés'], BaseMoved)
    assert 'Marta' in str(scenario.results['Andrés'])


@then('Marta is told that version 2 is accepted')
def edit_is_accepted(scenario: _Scenario) -> None:
    assert isinstance(scenario.results['Marta'], Applied)
    assert scenario.results['Marta'].entry.version == 2


@then('Marta is told that the log is unavailable and unchanged')
def log_is_unavailable(scenario: _Scenario) -> None:
    assert isinstance(scenario.results['Marta'], LogUnavailable)


@then(parsers.parse('the node has version {version:d} by {author} in force'))
def node_has_in_force(scenario: _Scenario, version: int, author: str) -> None:
    policy = scenario.node.rules.match(
        service='calendario', method='GET', path='/events/2026'
    )
    assert scenario.node.version == version
    assert policy.requested_by == author


@then('a node that reads the store has version 2 by Marta in force')
def new_reader_has_in_force(scenario: _Scenario) -> None:
    scenario.read(scenario.memory)
    node_has_in_force(scenario, 2, 'Marta')
