"""The attempts of one call: pick an instance, send, retry or answer."""

import time

import msgspec

from fescueknot.admission.rank import rank_of, root_position
from fescueknot.calls import Outcome
from fescueknot.identity import InstanceId
from fescueknot.node import problems, refusals
from fescueknot.node.connections import CallerGone
from fescueknot.node.failures import FAILURE_KINDS
from fescueknot.node.intake import EntryCall
from fescueknot.node.peer_client import PeerClient, Sending
from fescueknot.node.runtime import Runtime
from fescueknot.node.services import ServiceLine
from fescueknot.node.verdicts import Verdict, VerdictKind
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.retries.policy import Attempt, GiveUp
from fescueknot.routing.messages import NoTarget


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call at its entry.

    ``attempts`` is the number of attempts made, ``unspent`` the number of
    extra attempts that are left.
    """

    done: refusals.Done
    attempts: int
    unspent: int


class CallState:
    """The attempts made for one call and their outcome."""

    def __init__(self, *, call: EntryCall) -> None:
        self.call = call
        self.allotment = RetryAllotment(attempts=call.share.attempts)
        self.attempts = 0
        self.excluded: frozenset[InstanceId] = frozenset()
        self._outcome = Outcome.NOT_RUN

    def record_failure(self, verdict: Verdict) -> None:
        """Record a failed attempt; its instance is not picked again."""
        self.excluded |= {verdict.instance}
        if self._outcome is Outcome.NOT_RUN:
            self._outcome = verdict.outcome

    def finish(self, done: refusals.Done) -> Finished:
        """Return the end of the call.

        A refusal states "not run" only if that holds for all attempts.
        """
        if done.kind is not VerdictKind.ANSWERED:
            answer = problems.with_outcome(done.answer, self._outcome)
            done = msgspec.structs.replace(
                done,
                answer=answer,
                outcome=self._outcome,
            )
        return Finished(
            done=done,
            attempts=self.attempts,
            unspent=self.allotment.held,
        )


class AttemptLoop:
    """Runs the attempts of calls that any instance may serve."""

    def __init__(self, *, runtime: Runtime, peers: PeerClient) -> None:
        self._runtime = runtime
        self._peers = peers

    def run(
        self,
        call: EntryCall,
        line: ServiceLine,
        caller_gone: CallerGone,
    ) -> Finished:
        """Return the final answer, after retries where they are allowed."""
        line.first_attempt()
        state = CallState(call=call)
        done = self._attempt(state, line, caller_gone)
        while self._should_retry(state, line, done, caller_gone):
            done = self._attempt(state, line, caller_gone)
        return state.finish(done)

    def _attempt(
        self,
        state: CallState,
        line: ServiceLine,
        caller_gone: CallerGone,
    ) -> refusals.Done:
        state.attempts += 1
        context = state.call.context
        rank = rank_of(context.importance, root_position(context.root_id))
        picked = line.pick(self._runtime.rng, state.excluded, rank)
        if isinstance(picked, NoTarget):
            return refusals.no_target(picked)
        share = state.allotment.lend_to_attempt()
        tried = self._peers.send(
            Sending(
                instance=picked.instance,
                attempt=state.attempts,
                lent=share.attempts,
            ),
            state.call,
            line,
            caller_gone,
        )
        unspent = min(tried.verdict.allotment_left, share.attempts)
        state.allotment.give_back(
            msgspec.structs.replace(share, attempts=unspent)
        )
        if tried.verdict.kind is not VerdictKind.ANSWERED:
            state.record_failure(tried.verdict)
        return refusals.Done(
            kind=tried.verdict.kind,
            outcome=tried.verdict.outcome,
            answer=tried.answer,
        )

    def _should_retry(
        self,
        state: CallState,
        line: ServiceLine,
        done: refusals.Done,
        caller_gone: CallerGone,
    ) -> bool:
        if done.kind is VerdictKind.ANSWERED or caller_gone():
            return False
        attempt = Attempt(
            kind=FAILURE_KINDS[done.kind],
            outcome=done.outcome,
            attempts=state.attempts,
            remaining_s=state.call.deadline_s - self._runtime.now_s(),
        )
        decision = line.decide(
            state.call.policy,
            attempt,
            state.allotment,
            self._runtime.rng,
        )
        if isinstance(decision, GiveUp):
            return False
        time.sleep(decision.wait_s)
        return True
