"""Log lines of a caller's node about requests and replies."""

from fescueknot.httpio.messages import Response
from fescueknot.relay.messages import Call, Reply
from fescueknot.relay.observer import Observer
from fescueknot.relay.refusal import Refusal
from fescueknot.relay.request_attempts import RequestAttempts

_MS_PER_S = 1000


class CallLog:
    """Logs the end of each request, and each reply that is not a success."""

    def __init__(self, *, observer: Observer) -> None:
        self._observer = observer

    def ended(
        self,
        call: Call,
        service: str,
        attempts: RequestAttempts,
        response: Response,
        elapsed_s: float,
    ) -> None:
        """Log the answer to a request."""
        self._log_end(
            'call.ended', call, service, attempts, response.status, elapsed_s
        )

    def abandoned(
        self,
        call: Call,
        service: str,
        attempts: RequestAttempts,
        elapsed_s: float,
    ) -> None:
        """Log a request whose caller left before the answer."""
        self._log_end('call.abandoned', call, service, attempts, 0, elapsed_s)

    def refused(self, refusal: Refusal) -> None:
        """Log a request that is refused before any attempt."""
        if refusal.event:
            self._observer.note(refusal.event, **refusal.details)

    def replied(
        self, call: Call, service: str, reply: Reply, elapsed_s: float
    ) -> None:
        """Log the reply of a target or its node unless it is a success."""
        if reply.is_success:
            return
        self._observer.note(
            'call.reply',
            id=call.head.attempt,
            service=service,
            instance=call.head.instance,
            ending=str(reply.head.ending),
            reason=str(reply.head.refused_for),
            detail=reply.head.detail,
            status=reply.response.status if reply.response else 0,
            ms=int(elapsed_s * _MS_PER_S),
            in_flight=reply.head.in_flight,
            waiting=reply.head.waiting,
            limit=reply.head.limit,
        )

    def _log_end(
        self,
        event: str,
        call: Call,
        service: str,
        attempts: RequestAttempts,
        status: int,
        elapsed_s: float,
    ) -> None:
        self._observer.note(
            event,
            id=call.head.attempt,
            route=call.head.route,
            service=service,
            version=call.head.version,
            depth=call.head.lineage.depth,
            status=status,
            ms=int(elapsed_s * _MS_PER_S),
            asked=attempts.sent,
            arrivals=attempts.at_target,
            outcome=str(attempts.outcome()),
        )
