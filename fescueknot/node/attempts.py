"""The attempts of one call: pick an instance, send, retry or answer."""

import time

import msgspec

from fescueknot.admission.rank import rank_of, root_position
from fescueknot.calls import Outcome
from fescueknot.identity import InstanceId
from fescueknot.node import problems, refusals
from fescueknot.node.connections import CallerGone
from fescueknot.node.entry_calls import EntryCall
from fescueknot.node.failures import FAILURE_KINDS
from fescueknot.node.peer_client import OutgoingAttempt, PeerClient
from fescueknot.node.runtime import Runtime
from fescueknot.node.service_channels import ServiceChannel
from fescueknot.node.verdicts import Verdict, VerdictKind
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.retries.policy import FailedAttempt, GiveUp
from fescueknot.routing.messages import NoTarget


class FinishedCall(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call at its entry.

    ``attempts`` is the number of attempts made, ``unspent`` the number of
    extra attempts that are left.
    """

    end: refusals.CallEnd
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

    def finish(self, end: refusals.CallEnd) -> FinishedCall:
        """Return the end of the call.

        A refusal states "not run" only if that holds for all attempts.
        """
        if end.kind is not VerdictKind.ANSWERED:
            answer = problems.with_outcome(end.answer, self._outcome)
            end = msgspec.structs.replace(
                end,
                answer=answer,
                outcome=self._outcome,
            )
        return FinishedCall(
            end=end,
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
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> FinishedCall:
        """Return the final answer, after retries where they are allowed."""
        channel.first_attempt()
        state = CallState(call=call)
        end = self._attempt(state, channel, caller_gone)
        while self._should_retry(state, channel, end, caller_gone):
            end = self._attempt(state, channel, caller_gone)
        return state.finish(end)

    def _attempt(
        self,
        state: CallState,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> refusals.CallEnd:
        state.attempts += 1
        context = state.call.context
        rank = rank_of(context.importance, root_position(context.root_id))
        picked = channel.pick(self._runtime.rng, state.excluded, rank)
        if isinstance(picked, NoTarget):
            return refusals.no_target(picked)
        share = state.allotment.lend_to_attempt()
        result = self._peers.send(
            OutgoingAttempt(
                instance=picked.instance,
                number=state.attempts,
                lent_attempts=share.attempts,
            ),
            state.call,
            channel,
            caller_gone,
        )
        unspent = min(result.verdict.allotment_left, share.attempts)
        state.allotment.give_back(
            msgspec.structs.replace(share, attempts=unspent)
        )
        if result.verdict.kind is not VerdictKind.ANSWERED:
            state.record_failure(result.verdict)
        return refusals.CallEnd(
            kind=result.verdict.kind,
            outcome=result.verdict.outcome,
            answer=result.answer,
        )

    def _should_retry(
        self,
        state: CallState,
        channel: ServiceChannel,
        end: refusals.CallEnd,
        caller_gone: CallerGone,
    ) -> bool:
        if end.kind is VerdictKind.ANSWERED or caller_gone():
            return False
        attempt = FailedAttempt(
            kind=FAILURE_KINDS[end.kind],
            outcome=end.outcome,
            attempts=state.attempts,
            remaining_s=state.call.deadline_s - self._runtime.now_s(),
        )
        decision = channel.decide(
            state.call.policy,
            attempt,
            state.allotment,
            self._runtime.rng,
        )
        if isinstance(decision, GiveUp):
            return False
        time.sleep(decision.wait_s)
        return True
