"""The eight promises, each checked over a whole replay.

Every check is a generator of breaches; a table maps each promise to its check.
"""

import collections
import types
from collections.abc import Callable, Iterable, Iterator

import msgspec

from fescueknot.calls import Importance, Outcome
from fescueknot.node.verdicts import VerdictKind
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.outcomes import Broken, Promise, RequestOutcome
from fescueknot.replay.rules_log import RulesLog, reverts
from fescueknot.replay.state import Run, Sending

_LEAVING_S = 2.0
_IN_FORCE_S = 9.0
_LEAST_OF_CLASS = 20
_SHED_KINDS = frozenset((VerdictKind.SHED, VerdictKind.REFUSED))


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """All that the checks look at."""

    fleet: Fleet
    rules: RulesLog
    sent: tuple[Sending, ...]
    requests: tuple[RequestOutcome, ...]
    allotment: int
    end_s: float


Check = Callable[[Evidence], Iterable[str]]


def broken(evidence: Evidence) -> tuple[Broken, ...]:
    """Return every breach of every promise."""
    return tuple(
        Broken(promise=promise, detail=detail)
        for promise, check in _CHECKS.items()
        for detail in check(evidence)
    )


def _retries(evidence: Evidence) -> Iterator[str]:
    for sending in evidence.sent:
        bound = sending.calls + evidence.allotment
        if sending.attempts > bound:
            yield (
                f'{sending.root_id}: {sending.attempts} attempts for '
                f'{sending.calls} calls'
            )


def _shed_last(evidence: Evidence) -> Iterator[str]:
    services = {request.service for request in evidence.requests}
    for service in sorted(services):
        shares = _shed_shares(evidence, service)
        critical = shares.pop(Importance.CRITICAL, 0)
        for importance, share in shares.items():
            if critical > share:
                yield (
                    f'{service}: shed {critical:.1%} of critical, '
                    f'{share:.1%} of {importance.name.lower()}'
                )


def _shed_shares(evidence: Evidence, service: str) -> dict[Importance, float]:
    offered: collections.Counter[Importance] = collections.Counter()
    shed: collections.Counter[Importance] = collections.Counter()
    for request in evidence.requests:
        if request.service == service:
            offered[request.importance] += 1
            shed[request.importance] += request.verdict in _SHED_KINDS
    return {
        importance: shed[importance] / number
        for importance, number in offered.items()
        if number >= _LEAST_OF_CLASS
    }


def _own_answer(evidence: Evidence) -> Iterator[str]:
    for request in evidence.requests:
        if request.good and request.answer != request.wanted:
            yield f'{request.request_id}: got {request.answer!r}'


def _not_run(evidence: Evidence) -> Iterator[str]:
    for sending in evidence.sent:
        if sending.told is not Outcome.NOT_RUN:
            continue
        if sending.runs or sending.key_runs_when_told:
            yield f'{sending.root_id}: told not run, but it was'


def _once(evidence: Evidence) -> Iterator[str]:
    for key, number in _runs_by_key(evidence.fleet.runs).items():
        if number > 1:
            yield f'{key}: run {number} times'


def _runs_by_key(runs: Iterable[Run]) -> collections.Counter[str]:
    return collections.Counter(run.key for run in runs if run.key)


def _leaving(evidence: Evidence) -> Iterator[str]:
    for run in evidence.fleet.runs:
        condition = evidence.fleet.hosts[run.host].condition
        drained_s = condition.draining_s
        if drained_s is not None and run.received_s > drained_s + _LEAVING_S:
            yield (
                f'{run.host}: {run.request_id} came '
                f'{run.received_s - drained_s:.2f} s after the drain'
            )


def _cuts(evidence: Evidence) -> Iterator[str]:
    for cut in evidence.fleet.cuts:
        yield f'{cut.host}: cut {cut.request_id}'


def _rules(evidence: Evidence) -> Iterator[str]:
    for change in reverts(evidence.rules.in_force):
        yield f'{change.host}: back to version {change.version}'
    for told in evidence.rules.in_force:
        if told.text != evidence.rules.text_of(told.version):
            yield f'{told.host}: version {told.version} has another text'
    for accepted in evidence.rules.accepted:
        due_s = accepted.at_s + _IN_FORCE_S
        if due_s <= evidence.end_s:
            yield from _late(evidence, accepted.version, due_s)


def _late(evidence: Evidence, version: int, due_s: float) -> Iterator[str]:
    in_time = {
        told.host
        for told in evidence.rules.in_force
        if told.version >= version and told.at_s <= due_s
    }
    for name, host in evidence.fleet.hosts.items():
        if name not in in_time and not host.condition.gone:
            yield f'{name}: version {version} not in force in time'


_CHECKS: types.MappingProxyType[Promise, Check] = types.MappingProxyType(
    {
        Promise.RETRIES_BOUNDED: _retries,
        Promise.SHED_LAST: _shed_last,
        Promise.OWN_ANSWER: _own_answer,
        Promise.NOT_RUN_TRUE: _not_run,
        Promise.AT_MOST_ONCE: _once,
        Promise.LEAVING_GETS_NOTHING: _leaving,
        Promise.STOP_CUTS_NOTHING: _cuts,
        Promise.RULES_NEVER_REVERT: _rules,
    }
)
