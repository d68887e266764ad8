"""How often a node cuts requests beside configurations and at other times."""

import collections
from collections.abc import Iterable

import msgspec

from tools.site_rig.cases import Case, Excuse, Finding, Limits, Occasion
from tools.site_rig.occasions import is_near_configuration
from tools.site_rig.records import Outcome
from tools.site_rig.rule_lost import judge_at_any_time

_RAISED_RATIO = 3


class CutRates:
    """Counts the requests and the cuts of each node."""

    def __init__(self, *, limits: Limits) -> None:
        self._limits = limits
        self._requests: collections.Counter = collections.Counter()
        self._cuts: collections.Counter = collections.Counter()

    def count(self, case: Case) -> None:
        """Count a request."""
        key = (case.request.host, is_near_configuration(case, self._limits))
        self._requests[key] += 1
        self._cuts[key] += case.request.outcome is Outcome.ENDED

    def excused(self, findings: Iterable[Finding]) -> list[Finding]:
        """Excuse what does not happen more often beside configurations."""
        return [self._excused(finding) for finding in findings]

    def _excused(self, finding: Finding) -> Finding:
        is_beside = finding.occasion is Occasion.CONFIGURATION
        host = finding.case.request.host
        if not (finding.counts and is_beside) or self._is_raised(host):
            return finding
        usual = msgspec.structs.replace(finding, excuse=Excuse.NOT_RAISED)
        return judge_at_any_time(usual, self._limits)

    def _is_raised(self, host: str) -> bool:
        usual = self._share(host, is_beside=False)
        return self._share(host, is_beside=True) > _RAISED_RATIO * usual

    def _share(self, host: str, *, is_beside: bool) -> float:
        key = (host, is_beside)
        return self._cuts[key] / max(1, self._requests[key])
