"""Runs jobs with an idempotency key at its owner, and jobs without."""

from fescueknot.node.connections import CallerGone
from fescueknot.node.envelope import Envelope
from fescueknot.node.jobs import Job
from fescueknot.node.keyed_work import KeyedWork
from fescueknot.node.messages import HttpAnswer, HttpRequest
from fescueknot.node.work import LocalWork


class JobRunner:
    """Runs the calls that are addressed to this node's target."""

    def __init__(self, *, work: LocalWork, keyed: KeyedWork) -> None:
        self._work = work
        self._keyed = keyed

    def run(
        self,
        envelope: Envelope,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Return the answer with the verdict of this node."""
        job = self._work.new_job(envelope, request, caller_gone)
        return self._run_job(job)

    def _run_job(self, job: Job) -> HttpAnswer:
        if job.envelope.keyed:
            return self._keyed.run(job)
        return self._work.run(job)
