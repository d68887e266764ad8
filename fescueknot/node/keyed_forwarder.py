"""Sends calls with an idempotency key to the owner of the key."""

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
    """Sends a call to the owner of its key; follows changes of the owner.

    A call whose answer was lost is not sent again. When the caller repeats the
    request, the owner's ledger has the outcome of the key.
    """

    def __init__(self, *, peers: PeerClient, owners: KeyOwners) -> None:
        self._peers = peers
        self._owners = owners

    def run(
        self,
        call: EntryCall,
        channel: ServiceChannel,
        caller_gone: CallerGone,
    ) -> FinishedCall:
        """Return the owner's answer, or a refusal with the known outcome."""
        key = operation_key(
            service=call.service,
            caller='',
            text=headers.idempotency_key(call.request),
        )
        owner = self._owners.owner(call.service, key.number)
        state = CallState(call=call)
        end = refusals.no_owner()
        while owner is not None and state.attempts < _MAX_HOPS:
            state.attempts += 1
            result = self._send_to_owner(
                owner, call, channel, caller_gone, state.attempts
            )
            end = _call_end(result)
            owner = _next_owner(result, owner)
        return FinishedCall(
            end=end,
            attempts=state.attempts,
            unspent=call.share.attempts,
        )

    def _send_to_owner(
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


def _next_owner(
    result: AttemptResult, previous: InstanceId
) -> InstanceId | None:
    named = result.verdict.owner
    moved = result.verdict.kind is VerdictKind.OTHER_OWNER and named != previous
    return named if moved else None


def _call_end(result: AttemptResult) -> refusals.CallEnd:
    """Return the end of the call after one attempt.

    If the owner is unreachable the outcome is unknown rather than "not run",
    since an earlier attempt with the same key may have run.
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
