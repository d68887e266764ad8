"""Leases of key owners, made of store evidence or of promises.

See "Lease" in ``docs/design/at-most-once.md``; the idea of a lease whose term
the others wait out is from Gray and Cheriton, "Leases" (1989).
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


class LeaseKeeper:
    """The lease of one member on the newest version that it knows of."""

    def __init__(self, *, view: RosterView, terms: Terms) -> None:
        self._view = view
        self._terms = terms
        self._evidence = StoreEvidence(version=view.version, at_s=_NEVER_S)
        self._promised: dict[InstanceId, float] = {}

    @property
    def evidence(self) -> StoreEvidence:
        """Return the best store evidence, to be passed on with its age."""
        return self._evidence

    def add_evidence(self, evidence: StoreEvidence) -> None:
        """Take a reading of the store; an older one changes nothing."""
        self._view.record_version(evidence.version)
        if evidence.version > self._evidence.version:
            self._evidence = evidence
        elif evidence.version == self._evidence.version:
            latest_s = max(evidence.at_s, self._evidence.at_s)
            self._evidence = StoreEvidence(
                version=evidence.version, at_s=latest_s
            )

    def promise_request(self, *, now_s: float) -> PromiseRequest:
        """Return the request to send to all other members."""
        return PromiseRequest(
            requester=self._view.instance,
            version=self._view.version,
            sent_s=now_s,
        )

    def add_promise(self, promise: Promise) -> None:
        """Take a promise; one for another version changes nothing."""
        if promise.version != self._view.version:
            return
        if promise.requester != self._view.instance:
            return
        known_s = self._promised.get(promise.promiser, _NEVER_S)
        self._promised[promise.promiser] = max(known_s, promise.sent_s)

    def forget_promises(self) -> None:
        """Drop the promises for a version that is no longer the newest."""
        self._promised.clear()

    def expires_s(self) -> float:
        """Return until when this member may begin keys."""
        if self._view.outdated or self._view.state is not MemberState.SERVING:
            return _NEVER_S
        if self._evidence.version != self._view.version:
            return _NEVER_S
        by_store_s = self._evidence.at_s + self._terms.lease_s
        return max(by_store_s, self._by_promises_s())

    def _by_promises_s(self) -> float:
        limit_s = self._evidence.at_s + self._terms.outage_limit_s
        needed = self._view.roster.electorate.quorum - 1
        latest_first = sorted(self._others_promised(), reverse=True)
        if len(latest_first) < needed:
            return _NEVER_S
        return min(limit_s, latest_first[needed - 1] + self._terms.lease_s)

    def _others_promised(self) -> list[float]:
        return [
            self._promised[elector]
            for elector in self._view.roster.holders
            if elector in self._promised and elector != self._view.instance
        ]


class PromiseGiver:
    """Answers the promise requests of other members.

    A leaver must have stopped before it writes its leave: later rosters no
    longer count it among those that may have promised.
    """

    def __init__(self, *, view: RosterView) -> None:
        self._view = view
        self._stopped = False

    def stop(self) -> None:
        """Promise nothing from now on."""
        self._stopped = True

    def grant(self, request: PromiseRequest) -> Promise | None:
        """Return a promise, or ``None`` when the versions differ.

        A member that isn't serving, or knows that the requester isn't,
        promises nothing.
        """
        self._view.record_version(request.version)
        if request.version != self._view.version or not self._able():
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

    def _able(self) -> bool:
        if self._stopped or self._view.outdated:
            return False
        return self._view.state is MemberState.SERVING
