"""Prints the figures of a run and its cases of the rule LOST."""

import collections
import pathlib
from collections.abc import Iterable

from tools.site_rig.cases import Case, Finding, Limits, Occasion
from tools.site_rig.causes import cause_of
from tools.site_rig.joining import RunRecords, findings_of, load_records
from tools.site_rig.node_log import lines_of
from tools.site_rig.records import (
    MemoryRecord,
    Outcome,
    RequestRecord,
    RunRecord,
    SignalKind,
)
from tools.site_rig.scene import Scene

_MOST_AT_ANY_TIME = 3
_MS_PER_S = 1000


def print_report(scene: Scene, label: str) -> int:
    """Print a run's figures and cases; return the number of lost requests."""
    folder = pathlib.Path(scene.folder)
    records = load_records(folder)
    limits = _limits_of(scene)
    findings = findings_of(records, limits)
    lost = [finding for finding in findings if finding.counts]
    sure = sum(_is_sure(finding, limits) for finding in lost)
    print(f'{label}: {len(lost)} LOST, {sure} of them whatever the lag')
    _print_figures(records)
    _print_lost(lost, records)
    excuses = (finding.excuse for finding in findings if not finding.counts)
    print(f'  excused {_counts(excuses)}')
    _print_not_played(scene)
    _print_cases(lost, folder)
    return len(lost)


def _print_lost(lost: list[Finding], records: RunRecords) -> None:
    """Print in how many ways requests were lost."""
    occasions = _counts(finding.occasion for finding in lost)
    manners = _counts(finding.case.request.manner for finding in lost)
    kept = sum(finding.case.request.is_kept for finding in lost)
    print(f'  lost at {occasions}')
    causes = (cause_of(finding.case, records.signals) for finding in lost)
    print(f'  lost because {_counts(causes)}')
    print(f'  lost of manners {manners}, on kept connections {kept}')
    print(f'  the rule is {"broken" if is_broken(lost) else "kept"}')


def is_broken(lost: Iterable[Finding]) -> bool:
    """Tell whether they break the rule; three at any time do not."""
    occasions = collections.Counter(finding.occasion for finding in lost)
    at_any_time = occasions.pop(Occasion.ANY_TIME, 0)
    return bool(occasions) or at_any_time > _MOST_AT_ANY_TIME


def _print_cases(lost: list[Finding], folder: pathlib.Path) -> None:
    for finding in lost:
        print(f'  {describe(finding)}')
        _print_lines(finding.case, folder)


def describe(finding: Finding) -> str:
    """Return a case as one line."""
    request = finding.case.request
    runs = ', '.join(
        _describe_run(run, request.sent_s) for run in finding.case.runs
    )
    parts = (
        f'{finding.occasion}: {request.attempt} at {request.host}',
        f'{_after_term(finding)} ({request.sent_s:.3f})',
        f'lasted {request.lasted_s:.3f} s of {request.time_left_s:.2f}',
        f'lag {request.lag_s:.3f} {_came_back(request)}',
        f'kept {request.is_kept} behind {request.is_behind} {request.manner}',
        f'runs [{runs}]',
    )
    return ', '.join(parts)


def _describe_run(run: RunRecord, sent_s: float) -> str:
    arrived_s, ended_s = run.arrived_s - sent_s, run.ended_s - sent_s
    return f'{run.target} {run.end} {arrived_s:+.3f}..{ended_s:+.3f}'


def _print_not_played(scene: Scene) -> None:
    for word in scene.not_played:
        print(f'  not played: {word}')


def _print_lines(case: Case, folder: pathlib.Path) -> None:
    for line in lines_of(case, folder):
        print(f'    {line}', flush=True)


def _limits_of(scene: Scene) -> Limits:
    bounds = scene.site.bounds
    return Limits(
        grace_s=bounds.grace_s,
        apply_s=bounds.config_ms / _MS_PER_S,
        stable_s=bounds.touch_ms / _MS_PER_S,
    )


def _print_figures(records: RunRecords) -> None:
    requests = records.requests
    print(f'  requests {_counts(found.outcome for found in requests)}')
    print(f'  statuses {_counts(found.status for found in requests)}')
    print(f'  signals {_counts(found.kind for found in records.signals)}')
    print(f'  run ends {_counts(found.end for found in records.runs)}')
    for line in peak_lines(records.peaks):
        print(f'  {line}')
    lag_s = max((found.lag_s for found in requests), default=0)
    print(f'  longest lag of a caller beside a failure {lag_s:.3f} s')


def peak_lines(peaks: list[MemoryRecord]) -> list[str]:
    """Return the highest peak of each node, the highest first."""
    ordered = sorted(peaks, key=lambda found: found.peak_mb)
    highest = {peak.host: peak for peak in ordered}
    return [
        f'peak {peak.peak_mb:.0f} MB, {peak.descriptors} files: {peak.host}'
        for peak in reversed(tuple(highest.values()))
    ]


def _counts(found: Iterable[object]) -> dict[str, int]:
    return dict(collections.Counter(str(each) for each in found))


def _is_sure(finding: Finding, limits: Limits) -> bool:
    """Tell whether it also counts if its caller came late by its lag."""
    request = finding.case.request
    if finding.case.is_passed_on:
        return True
    return request.lasted_s - request.lag_s > limits.loss_slack_s


def _after_term(finding: Finding) -> str:
    case = finding.case
    before = [
        case.request.sent_s - at_s
        for at_s in case.times(SignalKind.TERM)
        if at_s <= case.request.ended_s
    ]
    return f'sent {before[-1]:+.3f} s after SIGTERM' if before else 'unstopped'


def _came_back(request: RequestRecord) -> str:
    if request.outcome is Outcome.ANSWERED:
        return str(request.status)
    return 'reset' if request.is_reset else 'closed'
