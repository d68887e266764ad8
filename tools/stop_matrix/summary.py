"""Prints what a run lost, by what its clients did."""

import collections
import pathlib
from collections.abc import Iterable

from tools.site_rig.cases import Finding, Limits
from tools.site_rig.joining import findings_of, load_records
from tools.site_rig.report import describe
from tools.stop_matrix.field import BOUNDS

_MS_PER_S = 1000
_MOST_SHOWN = 3
LIMITS = Limits(grace_s=BOUNDS.grace_s, apply_s=BOUNDS.config_ms / _MS_PER_S)


def print_summary(folder: pathlib.Path) -> int:
    """Print the cells of a run; return the number of lost requests."""
    records = load_records(folder)
    findings = findings_of(records, LIMITS)
    lost = [finding for finding in findings if finding.counts]
    excused = [finding for finding in findings if not finding.counts]
    by_excuse = _counts(
        f'{behaviour_of(finding)}: {finding.excuse}' for finding in excused
    )
    ends = _counts(
        f'{request.outcome} {request.status}' for request in records.requests
    )
    print(f'{folder.name}: {len(lost)} LOST {count_cells(lost)}')
    print(f'  excused {by_excuse}')
    print(f'  of {len(records.requests)}: {ends}')
    for finding in _first_of_each(lost):
        print(f'  {describe(finding)}', flush=True)
    return len(lost)


def count_cells(lost: Iterable[Finding]) -> dict[str, int]:
    """Return the numbers by behaviour and occasion."""
    return _counts(
        f'{behaviour_of(finding)}, {finding.occasion}' for finding in lost
    )


def behaviour_of(finding: Finding) -> str:
    """Return what the client did, from the id of its request."""
    name, _, number = finding.case.request.attempt.partition('.')
    return f'{name} (call)' if '-' in number else name


def _first_of_each(lost: Iterable[Finding]) -> list[Finding]:
    seen: collections.Counter[str] = collections.Counter()
    first = []
    for finding in lost:
        name = behaviour_of(finding)
        seen[name] += 1
        if seen[name] <= _MOST_SHOWN:
            first.append(finding)
    return first


def _counts(found: Iterable[str]) -> dict[str, int]:
    return dict(collections.Counter(found))
