"""Witness side: probing an instance on behalf of another node."""

import dataclasses

from fescueknot.identity import Address
from fescueknot.membership import messages as wire
from fescueknot.membership.view import LocalView

ANSWER_TIMEOUT_S = 0.6
ISOLATION_TIMEOUT_S = 3.0
_MAX_PENDING = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingRequest:
    requester: Address
    message: wire.WitnessRequest
    due_at_s: float


class Witnesses:
    """Witness requests that are not reported on yet.

    A node that has received no message for :data:`ISOLATION_TIMEOUT_S`, or
    was paused, drops the requests: its failed probes prove nothing.
    """

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._pending: list[_PendingRequest] = []
        self._last_message_at_s = -ISOLATION_TIMEOUT_S

    def accept(
        self, incoming: wire.Incoming, *, now_s: float
    ) -> tuple[wire.Outgoing, ...]:
        """Accept a witness request and return a probe of its target."""
        message = incoming.message
        target = self._view.catalog.find(message.target)
        if target is None or len(self._pending) >= _MAX_PENDING:
            return ()
        due_at_s = now_s + ANSWER_TIMEOUT_S
        self._pending.append(
            _PendingRequest(
                requester=incoming.source, message=message, due_at_s=due_at_s
            )
        )
        probe = wire.Probe(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            nonce=0,
        )
        return (wire.Outgoing(target=target.gossip, message=probe),)

    def record_message(
        self, name: str, incarnation: int, *, now_s: float
    ) -> tuple[wire.Outgoing, ...]:
        """Report an instance as reached when a message of it arrives."""
        self._last_message_at_s = now_s
        answered = [
            request
            for request in self._pending
            if request.message.target == name
            and request.message.target_incarnation <= incarnation
        ]
        return self._report(answered, is_reached=True)

    def tick(self, *, now_s: float) -> tuple[wire.Outgoing, ...]:
        """Report targets that have not answered in time as not reached."""
        overdue = [
            request for request in self._pending if request.due_at_s <= now_s
        ]
        if now_s - self._last_message_at_s > ISOLATION_TIMEOUT_S:
            self.clear()
            return ()
        return self._report(overdue, is_reached=False)

    def clear(self) -> None:
        """Remove all requests."""
        self._pending.clear()

    def _report(
        self, requests: list[_PendingRequest], *, is_reached: bool
    ) -> tuple[wire.Outgoing, ...]:
        for request in requests:
            self._pending.remove(request)
        return tuple(
            wire.Outgoing(
                target=reported.requester,
                message=self._build_report(reported.message, is_reached),
            )
            for reported in requests
        )

    def _build_report(
        self, request: wire.WitnessRequest, is_reached: bool
    ) -> wire.WitnessReport:
        return wire.WitnessReport(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            target=request.target,
            target_incarnation=request.target_incarnation,
            is_reached=is_reached,
        )
