"""Sends calls with an idempotency key to the owner of the key."""

from fescueknot.calls import Outcome
from fescueknot.idempotency.keys import operation_key
from fescueknot.identity import InstanceId
from fescueknot.node import headers, problems, refusals
from fescueknot.node.attempts import CallState, Finished
from fescueknot.node.connections import CallerGone
from fescueknot.node.intake import EntryCall
from fescueknot.node.key_owners import KeyOwners
from fescueknot.node.peer_client import PeerClient, Sending
from fescueknot.node.service_channels import ServiceChannel
from fescueknot.node.tried import Tried
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
    ) -> Finished:
        """Return the owner's answer, or a refusal with the known outcome."""
        key = operation_key(
            service=call.service,
            caller='',
            text=headers.key_of(call.request),
        )
        owner = self._owners.owner(call.service, key.number)
        state = CallState(call=call)
        done = refusals.no_owner()
        while owner is not None and state.attempts < _MAX_HOPS:
            state.attempts += 1
            tried = self._send_to_owner(
                owner, call, channel, caller_gone, state.attempts
            )
            done = _call_end(tried)
            owner = _next_owner(tried, owner)
        return Finished(
            done=done,
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
    ) -> Tried:
        sending = Sending(
            instance=owner,
            attempt=attempt,
            lent=call.share.attempts,
            keyed=True,
        )
        return self._peers.send(sending, call, channel, caller_gone)


def _next_owner(tried: Tried, previous: InstanceId) -> InstanceId | None:
    named = tried.verdict.owner
    moved = tried.verdict.kind is VerdictKind.OTHER_OWNER and named != previous
    return named if moved else None


def _call_end(tried: Tried) -> refusals.Done:
    """Return the end of the call after one attempt.

    If the owner is unreachable the outcome is unknown rather than "not run",
    since an earlier attempt with the same key may have run.
    """
    outcome = tried.verdict.outcome
    if tried.verdict.kind is VerdictKind.UNREACHABLE:
        outcome = Outcome.UNKNOWN
    answer = tried.answer
    if outcome != tried.verdict.outcome:
        answer = problems.with_outcome(answer, outcome)
    return refusals.Done(
        kind=tried.verdict.kind,
        outcome=outcome,
        answer=answer,
    )
