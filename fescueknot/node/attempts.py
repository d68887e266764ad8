"""The attempts of one call: pick, send, judge, try again or answer."""

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
    """The end of a call; ``unspent`` are extra attempts left."""

    end: refusals.CallEnd
    attempts: int
    unspent: int


class CallState:
    """What one call has tried so far."""

    def __init__(self, *, call: EntryCall) -> None:
        self.call = call
        self.allotment = RetryAllotment(attempts=call.share.attempts)
        self.attempts = 0
        self.excluded: frozenset[InstanceId] = frozenset()
        self._worst = Outcome.NOT_RUN

    def take(self, verdict: Verdict) -> None:
        """Remember the verdict of a failed attempt."""
        self.excluded |= {verdict.instance}
        if self._worst is Outcome.NOT_RUN:
            self._worst = verdict.outcome

    def finish(self, end: refusals.CallEnd) -> FinishedCall:
        """Return the end of the call.

        A refusal says "not run" only if that holds for all attempts.
        """
        if end.kind is not VerdictKind.ANSWERED:
            answer = problems.with_outcome(end.answer, self._worst)
            end = msgspec.structs.replace(
                end,
                answer=answer,
                outcome=self._worst,
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
        while self._try_again(state, channel, end, caller_gone):
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
        left = min(result.verdict.allotment_left, share.attempts)
        state.allotment.give_back(msgspec.structs.replace(share, attempts=left))
        if result.verdict.kind is not VerdictKind.ANSWERED:
            state.take(result.verdict)
        return refusals.CallEnd(
            kind=result.verdict.kind,
            outcome=result.verdict.outcome,
            answer=result.answer,
        )

    def _try_again(
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
