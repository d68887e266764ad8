"""Measures the time and bytes that rules cost a node, by number of services."""

import functools
import itertools
import statistics
import time
from collections.abc import Callable

import msgspec

from fescueknot.rules import packing
from fescueknot.rules.delta import make_delta
from fescueknot.rules.edit import Edit, build_entry
from fescueknot.rules.log_entry import Head, encode_log_message
from fescueknot.rules.rule_set import RuleSet

_ROUNDS = 50
_US_PER_MS = 1000
_MS_PER_S = 1000
_CALLED_PATHS = ('/r7/12/things/9', '/r/5/6', '/r3/8/things', '/none//at/all')
_POSTS_PER_SERVICE = 8
_CALLED_SERVICES = 20


class CostReport(msgspec.Struct, frozen=True, kw_only=True):
    """Medians of 50 rounds.

    The measured change removes one line and adds one.
    """

    services: int
    rules: int
    text_bytes: int
    match_us: float
    verify_ms: float
    index_ms: float
    entry_bytes: int
    snapshot_bytes: int


def measure(services: int) -> CostReport:
    """Measure a rule set with ten rules for each of ``services`` services."""
    lines = sample_lines(services)
    head = Head(version=1, lines=lines, digest=packing.digest_of(1, lines))
    changed = (*lines[:-1], 's0 GET /changed class=low # Paúl')
    entry = build_entry(
        head,
        Edit(text='\n'.join(changed), file='', author='Inés', base_version=1),
        change_id='0' * 36,
        wall_time_s=0,
    )
    rules = RuleSet(lines=lines)
    hunks = make_delta(lines, changed)
    return CostReport(
        services=services,
        rules=len(lines),
        text_bytes=len(packing.text_of(lines).encode()),
        match_us=round(_match_us(rules, services), 2),
        verify_ms=round(_median_time_ms(lambda: head.after(entry)), 2),
        index_ms=round(
            _median_time_ms(lambda: rules.changed(lines=changed, hunks=hunks)),
            2,
        ),
        entry_bytes=len(encode_log_message(entry)),
        snapshot_bytes=len(encode_log_message(head.snapshot())),
    )


def sample_lines(services: int) -> tuple[str, ...]:
    """Return ten rules for each service, and one rule for all services."""
    lines = ['* GET /internal/** class=low # Inés']
    for number in range(services):
        service = f's{number}'
        lines += [
            f'{service} POST /r{path_number}/*/things/** class=critical '
            f'at-most-once deadline=8s # Group {path_number}, Marta'
            for path_number in range(_POSTS_PER_SERVICE)
        ]
        lines.append(
            f'{service} GET,HEAD /r/** class=normal retry=idempotent # Paúl'
        )
        lines.append(f'{service} * /** class=low # Person {number}')
    return tuple(lines)


def _match_us(rules: RuleSet, services: int) -> float:
    names = [
        f's{number * services // _CALLED_SERVICES}'
        for number in range(_CALLED_SERVICES)
    ]
    calls = list(itertools.product(names, ('GET', 'POST'), _CALLED_PATHS))
    match_all = functools.partial(_match_all, rules, calls)
    match_all()
    return _median_time_ms(match_all) / len(calls) * _US_PER_MS


def _match_all(rules: RuleSet, calls: list[tuple[str, str, str]]) -> None:
    for service, method, path in calls:
        rules.match(service=service, method=method, path=path)


def _median_time_ms(measured: Callable[[], object]) -> float:
    durations_s = []
    for _ in range(_ROUNDS):
        started_s = time.perf_counter()
        measured()
        durations_s.append(time.perf_counter() - started_s)
    return statistics.median(durations_s) * _MS_PER_S
