"""How much a retry of a call matters."""

from fescueknot.calls import Importance
from fescueknot.relay.messages import Call
from fescueknot.relay.runs import LocalRuns
from fescueknot.retries.shared_budget import MAX_URGENCY


def retry_urgency(call: Call, runs: LocalRuns) -> float:
    """Return the urgency of retrying a call, for the retry budget.

    It grows with the progress of the parent run: if a late call fails, more
    completed work is lost with it.
    """
    if call.head.lineage.importance is Importance.CRITICAL:
        return MAX_URGENCY
    return runs.progress(call.head.attempt, call.expires_s)
