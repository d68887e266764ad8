"""Runs jobs of both kinds: with a key at its owner, and all others."""

from fescueknot.node.connections import CallerGone
from fescueknot.node.envelope import Envelope
from fescueknot.node.jobs import Job
from fescueknot.node.keyed_runner import KeyedRunner
from fescueknot.node.local_runner import LocalRunner
from fescueknot.node.messages import HttpAnswer, HttpRequest


class JobRunner:
    """Takes calls that came to this node's target."""

    def __init__(
        self, *, local_runner: LocalRunner, keyed_runner: KeyedRunner
    ) -> None:
        self._local_runner = local_runner
        self._keyed_runner = keyed_runner

    def run(
        self,
        envelope: Envelope,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Return the answer with the verdict of this node."""
        job = self._local_runner.job(envelope, request, caller_gone)
        return self._run_job(job)

    def _run_job(self, job: Job) -> HttpAnswer:
        if job.envelope.keyed:
            return self._keyed_runner.run(job)
        return self._local_runner.run(job)
