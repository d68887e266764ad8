"""Leases of key owners, based on store evidence or on promises of peers.

See "Lease" in ``docs/design/at-most-once.md``. Other members wait until the
lease has expired before they take over: Gray and Cheriton, "Leases" (1989).
"""

import math

from fescueknot.idempotency.messages import (
    Promise,
    PromiseRequest,
    StoreEvidence,
)
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState

_NEVER_S = -math.inf


class MemberLease:
    """Lease of one member on the newest roster version that it knows."""

    def __init__(self, *, view: RosterView, terms: Terms) -> None:
        self._view = view
        self._terms = terms
        self._evidence = StoreEvidence(version=view.version, at_s=_NEVER_S)
        self._promise_sent_s: dict[InstanceId, float] = {}

    @property
    def evidence(self) -> StoreEvidence:
        """Return the newest store evidence.

        Its age must be sent along when it is forwarded to another host.
        """
        return self._evidence

    def add_evidence(self, evidence: StoreEvidence) -> None:
        """Record a reading of the store; ignore an older one."""
        self._view.record_version(evidence.version)
        if evidence.version > self._evidence.version:
            self._evidence = evidence
        elif evidence.version == self._evidence.version:
            latest_s = max(evidence.at_s, self._evidence.at_s)
            self._evidence = StoreEvidence(
                version=evidence.version, at_s=latest_s
            )

    def promise_request(self, *, now_s: float) -> PromiseRequest:
        """Return the promise request to send to all other members."""
        return PromiseRequest(
            requester=self._view.instance,
            version=self._view.version,
            sent_s=now_s,
        )

    def add_promise(self, promise: Promise) -> None:
        """Record a promise; ignore one for another version."""
        if promise.version != self._view.version:
            return
        if promise.requester != self._view.instance:
            return
        previous_s = self._promise_sent_s.get(promise.promiser, _NEVER_S)
        self._promise_sent_s[promise.promiser] = max(previous_s, promise.sent_s)

    def clear_promises(self) -> None:
        """Remove all promises; call it when a newer roster is adopted."""
        self._promise_sent_s.clear()

    def expires_s(self) -> float:
        """Return until when this member may begin keys."""
        if self._view.outdated or self._view.state is not MemberState.SERVING:
            return _NEVER_S
        if self._evidence.version != self._view.version:
            return _NEVER_S
        expiry_by_store_s = self._evidence.at_s + self._terms.lease_s
        return max(expiry_by_store_s, self._expiry_by_promises_s())

    def _expiry_by_promises_s(self) -> float:
        limit_s = self._evidence.at_s + self._terms.outage_limit_s
        needed = self._view.roster.electorate.quorum - 1
        latest_first = sorted(self._peer_promises_s(), reverse=True)
        if len(latest_first) < needed:
            return _NEVER_S
        return min(limit_s, latest_first[needed - 1] + self._terms.lease_s)

    def _peer_promises_s(self) -> list[float]:
        return [
            self._promise_sent_s[elector]
            for elector in self._view.roster.holders
            if elector in self._promise_sent_s
            and elector != self._view.instance
        ]


class PromiseGranter:
    """Answers the promise requests of other members.

    A leaving member must call ``stop`` before it writes the roster without
    itself: later rosters do not count it among the electors whose promises
    may still be valid.
    """

    def __init__(self, *, view: RosterView) -> None:
        self._view = view
        self._stopped = False

    def stop(self) -> None:
        """Grant no more promises."""
        self._stopped = True

    def grant(self, request: PromiseRequest) -> Promise | None:
        """Return a promise, or ``None`` if it is refused.

        It is refused when the versions differ, or when this member or the
        requester is not serving.
        """
        self._view.record_version(request.version)
        if request.version != self._view.version or not self._may_promise():
            return None
        requester_state = self._view.roster.state_of(request.requester)
        if requester_state is not MemberState.SERVING:
            return None
        return Promise(
            promiser=self._view.instance,
            requester=request.requester,
            version=request.version,
            sent_s=request.sent_s,
        )

    def _may_promise(self) -> bool:
        if self._stopped or self._view.outdated:
            return False
        return self._view.state is MemberState.SERVING
