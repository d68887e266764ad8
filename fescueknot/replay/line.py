"""What one node keeps about a service that it calls."""

import msgspec

from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import rank_of_level
from fescueknot.identity import InstanceId
from fescueknot.node.failures import RESULT_KINDS
from fescueknot.replay.state import CallEnd
from fescueknot.retries.policy import RetryPolicy
from fescueknot.routing.messages import CallResult, LoadReport
from fescueknot.routing.picker import TargetPicker


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """Choice of target and retries for one called service."""

    service: str
    picker: TargetPicker
    policy: RetryPolicy

    def finished(
        self,
        instance: InstanceId,
        end: CallEnd,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Take the end of a call that the picker has counted as started."""
        call_result = CallResult(
            kind=RESULT_KINDS[end.kind],
            latency_s=latency_s,
            report=_report(end.level),
        )
        self.picker.finished(instance, call_result, now_s)


def _report(level: AdmissionLevel | None) -> LoadReport | None:
    if level is None:
        return None
    return LoadReport(
        limit=level.limit,
        in_flight=level.in_flight,
        waiting=level.waiting,
        level_rank=rank_of_level(level),
    )
