"""Steps of tests/features/promise_*.feature: traces check promises."""

import pathlib
import string

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from fescueknot.calls import Importance, Outcome
from fescueknot.replay.events import Arrival, Trace
from fescueknot.replay.expectations import Recovery, recovery_s
from fescueknot.replay.mechanisms import Mechanisms
from fescueknot.replay.outcomes import Promise, RequestOutcome, RunOutcome
from fescueknot.replay.replayer import Replayer
from fescueknot.replay.trace import parse_trace
from tests.replay import seeded_faults

_TRACES = pathlib.Path(__file__).parent.parent / 'traces'

scenarios(
    'promise_1_retries.feature',
    'promise_2_shed_last.feature',
    'promise_3_own_answer.feature',
    'promise_4_not_run.feature',
    'promise_5_at_most_once.feature',
    'promise_6_leaving.feature',
    'promise_7_planned_stop.feature',
    'promise_8_rules.feature',
)


class _Scene:
    """The trace, the mechanisms that decide, and the outcome."""

    trace: Trace
    outcome: RunOutcome

    def __init__(self) -> None:
        self.mechanisms = Mechanisms()

    def requests_named(self, name: str) -> list[RequestOutcome]:
        """Return the requests whose ids have a name, whatever their number.

        ``hours-again`` is the name of ``hours1-again`` and ``hours2-again``;
        ``run`` is the name of ``run`` and of ``run`` with any suffix.
        """
        prefix, _, suffix = name.partition('-')
        requests = [
            request
            for request in self.outcome.requests
            if _matches(request.request_id, prefix, suffix)
        ]
        assert requests
        return requests


def _matches(request_id: str, prefix: str, suffix: str) -> bool:
    stem, _, tail = request_id.partition('-')
    if prefix == 'run':
        return stem == 'run'
    return stem.rstrip(string.digits) == prefix and tail == suffix


@pytest.fixture
def scene() -> _Scene:
    return _Scene()


@given(parsers.parse('the trace "{name}"'))
def load_trace(scene: _Scene, name: str) -> None:
    text = (_TRACES / f'{name}.jsonl').read_text(encoding='utf-8')
    scene.trace = parse_trace(text.splitlines())


@given('only its critical requests')
def keep_critical_requests(scene: _Scene) -> None:
    kept = tuple(
        event
        for event in scene.trace.events
        if not isinstance(event, Arrival)
        or event.importance is Importance.CRITICAL
    )
    scene.trace = msgspec.structs.replace(scene.trace, events=kept)


@given(parsers.re(f'(?P<fault>{"|".join(seeded_faults.BY_NAME)})'))
def seed_fault(scene: _Scene, fault: str) -> None:
    scene.mechanisms = seeded_faults.BY_NAME[fault]()


@when('it is replayed')
def replay_trace(scene: _Scene) -> None:
    scene.outcome = Replayer(
        trace=scene.trace, mechanisms=scene.mechanisms
    ).run()


def _breaches(scene: _Scene, promise: str) -> list[str]:
    expected = Promise(promise)
    return [
        breach.detail
        for breach in scene.outcome.broken
        if breach.promise is expected
    ]


@then(parsers.parse('the promise "{promise}" holds'))
def promise_holds(scene: _Scene, promise: str) -> None:
    assert not _breaches(scene, promise)
    assert scene.outcome.requests


@then(parsers.parse('the promise "{promise}" is broken'))
def promise_is_broken(scene: _Scene, promise: str) -> None:
    assert _breaches(scene, promise)


@then(
    parsers.parse(
        'no chain of 13 calls takes more than {max_attempts:d} attempts'
    )
)
def chain_attempts_bounded(scene: _Scene, max_attempts: int) -> None:
    attempts = [request.attempts for request in scene.requests_named('deep')]
    assert 13 <= max(attempts) <= max_attempts


@then(parsers.parse('there are at most {max_ratio:g} attempts for each call'))
def attempts_per_call_bounded(scene: _Scene, max_ratio: float) -> None:
    calls = sum(request.calls for request in scene.outcome.requests)
    attempts = sum(request.attempts for request in scene.outcome.requests)
    assert attempts <= max_ratio * calls


@then(
    parsers.parse(
        'at least {min_percent:d}% of the {name} requests get whole answers'
    )
)
def good_answers_at_least(scene: _Scene, min_percent: int, name: str) -> None:
    assert scene.outcome.classes[name].good_percent >= min_percent


@then(
    parsers.parse(
        'goodput is back within {within_s:d} s after second {end_s:d}'
    )
)
def goodput_recovers(scene: _Scene, within_s: int, end_s: int) -> None:
    stated = Recovery(trigger_end_s=end_s, within_s=within_s)
    assert recovery_s(scene.outcome.requests, stated) is not None


@then(parsers.parse('each "{name}" request gets a whole answer'))
def all_answered(scene: _Scene, name: str) -> None:
    assert all(request.good for request in scene.requests_named(name))


@then(parsers.parse('no "{name}" request gets an answer'))
def none_answered(scene: _Scene, name: str) -> None:
    assert not any(request.good for request in scene.requests_named(name))


@then(parsers.parse('each "{name}" request is told "{outcome}"'))
def all_told(scene: _Scene, name: str, outcome: str) -> None:
    outcomes = {request.outcome for request in scene.requests_named(name)}
    assert outcomes == {Outcome(outcome)}


@then('at least one request is told "not run"')
def some_told_not_run(scene: _Scene) -> None:
    outcomes = {request.outcome for request in scene.outcome.requests}
    assert Outcome.NOT_RUN in outcomes


@then(parsers.parse('the "{name}" requests run once in all'))
def runs_once(scene: _Scene, name: str) -> None:
    assert sum(request.runs for request in scene.requests_named(name)) == 1


@then(parsers.parse('the operator of "{change}" is told "{verdict}"'))
def operator_told(scene: _Scene, change: str, verdict: str) -> None:
    verdicts = {
        apply.change_id: apply.verdict for apply in scene.outcome.applies
    }
    assert verdicts[change] == verdict
