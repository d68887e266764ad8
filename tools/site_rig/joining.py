"""Joins the records of a run into the findings of the rule LOST."""

import collections
import pathlib
from collections.abc import Iterator

import msgspec

from tools.site_rig.cases import Case, Excuse, Finding, Limits
from tools.site_rig.cut_rates import CutRates
from tools.site_rig.records import (
    MemoryRecord,
    Record,
    RequestRecord,
    RunRecord,
    SignalRecord,
    read_records,
)
from tools.site_rig.rule_lost import judge


class RunRecords(msgspec.Struct, frozen=True, kw_only=True):
    """All records of a run."""

    requests: list[RequestRecord]
    runs: list[RunRecord]
    signals: list[SignalRecord]
    peaks: list[MemoryRecord]


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
        yield Case(
            request=request,
            runs=tuple(runs.get(request.attempt, ())),
            signals=(*signals[request.host], *signals['']),
        )


def _only(records: list[Record], kind: type) -> list:
    return [record for record in records if isinstance(record, kind)]
