"""Sends calls with an at-most-once key to the owner of the key."""

from fescueknot.calls import Outcome
from fescueknot.idempotency.keys import operation_key
from fescueknot.identity import InstanceId
from fescueknot.node import headers, problems, refusals
from fescueknot.node.attempt_result import AttemptResult
from fescueknot.node.attempts import CallState, FinishedCall
from fescueknot.node.connections import CallerGone
from fescueknot.node.entry_calls import EntryCall
from fescueknot.node.key_owners import KeyOwners
from fescueknot.node.peer_client import OutgoingAttempt, PeerClient
from fescueknot.node.service_channels import ServiceChannel
from fescueknot.node.verdicts import VerdictKind

_MAX_HOPS = 3


class KeyedForwarder:
    """Asks the owner; follows it when the owner has changed.

    Nothing is sent again after a lost answer: the owner's ledger tells the
    caller what became of the key when it comes back.
    """

    def __init__(self, *, peers: PeerClient, owners: KeyOwners) -> None:
        self._peers = peers
        self._routes = owners

    def run(
        self,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> FinishedCall:
        """Return the answer of the owner, or what is known without one."""
        key = operation_key(
            service=call.service,
            caller='',
            text=headers.idempotency_key(call.request),
        )
        owner = self._routes.owner(call.service, key.number)
        state = CallState(call=call)
        end = refusals.no_owner()
        while owner is not None and state.attempts < _MAX_HOPS:
            state.attempts += 1
            result = self._ask(
                owner, call, channel, caller_gone, state.attempts
            )
            end = _done(result)
            owner = _next_owner(result, owner)
        return FinishedCall(
            end=end,
            attempts=state.attempts,
            unspent=call.share.attempts,
        )

    def _ask(
        self,
        owner: InstanceId,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
        attempt: int,
    ) -> AttemptResult:
        outgoing = OutgoingAttempt(
            instance=owner,
            number=attempt,
            lent_attempts=call.share.attempts,
            keyed=True,
        )
        return self._peers.send(outgoing, call, channel, caller_gone)


def _next_owner(result: AttemptResult, asked: InstanceId) -> InstanceId | None:
    other = result.verdict.owner
    moved = result.verdict.kind is VerdictKind.OTHER_OWNER and other != asked
    return other if moved else None


def _done(result: AttemptResult) -> refusals.CallEnd:
    """Return the end of one try.

    A connection that could not be opened says nothing about earlier attempts
    with the key.
    """
    outcome = result.verdict.outcome
    if result.verdict.kind is VerdictKind.UNREACHABLE:
        outcome = Outcome.UNKNOWN
    answer = result.answer
    if outcome != result.verdict.outcome:
        answer = problems.with_outcome(answer, outcome)
    return refusals.CallEnd(
        kind=result.verdict.kind,
        outcome=outcome,
        answer=answer,
    )
