"""Joins the records of a run into the findings of the rule LOST."""

import collections
import pathlib
from collections.abc import Iterable, Iterator

import msgspec

from tools.site_rig.cases import Case, Excuse, Finding, Limits
from tools.site_rig.cut_rates import CutRates
from tools.site_rig.records import (
    MemoryRecord,
    Record,
    RequestRecord,
    RunRecord,
    SignalRecord,
    TroubleRecord,
    read_records,
)
from tools.site_rig.rule_lost import judge


class RunRecords(msgspec.Struct, frozen=True, kw_only=True):
    """All records of a run."""

    requests: list[RequestRecord]
    runs: list[RunRecord]
    signals: list[SignalRecord]
    peaks: list[MemoryRecord]
    troubles: list[TroubleRecord]


def load_records(folder: pathlib.Path) -> RunRecords:
    """Read the files of a run."""
    records: list[Record] = []
    for path in sorted(folder.glob('*.jsonl')):
        records.extend(read_records(path))
    return RunRecords(
        requests=_only(records, RequestRecord),
        runs=_only(records, RunRecord),
        signals=sorted(
            _only(records, SignalRecord), key=lambda signal: signal.at_s
        ),
        peaks=_only(records, MemoryRecord),
        troubles=_only(records, TroubleRecord),
    )


def findings_of(records: RunRecords, limits: Limits) -> list[Finding]:
    """Return what the rule says of each request that may be lost."""
    rates = CutRates(limits=limits)
    findings = []
    for case in _cases(records):
        rates.count(case)
        finding = judge(case, limits)
        if finding.excuse is not Excuse.NOT_LOST:
            findings.append(finding)
    return rates.excused(findings)


def _cases(records: RunRecords) -> Iterator[Case]:
    runs = collections.defaultdict(list)
    for run in records.runs:
        runs[run.attempt].append(run)
    signals = collections.defaultdict(list)
    for signal in records.signals:
        signals[signal.host].append(signal)
    for request in records.requests:
        case = Case(
            request=request,
            runs=tuple(runs.get(request.attempt, ())),
            signals=(*signals[request.host], *signals['']),
        )
        concerned = troubles_of(case, records.troubles)
        yield msgspec.structs.replace(case, troubles=concerned)


def troubles_of(
    case: Case, troubles: Iterable[TroubleRecord]
) -> tuple[TroubleRecord, ...]:
    """Return the disruptions that concern a request.

    Those are of the machine that took it, unless they are of the target there
    alone, and all of the targets it was passed on to.
    """
    targets = {run.target for run in case.passed_on}
    return tuple(
        trouble
        for trouble in troubles
        if trouble.host in targets
        or (trouble.host == case.request.host and not trouble.is_of_target)
    )


def _only(records: list[Record], kind: type) -> list:
    return [record for record in records if isinstance(record, kind)]
