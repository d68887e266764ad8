"""What the node of a caller says of a request in its log."""

from fescueknot.httpio.messages import Response
from fescueknot.relay.messages import Call, Reply
from fescueknot.relay.observer import Observer
from fescueknot.relay.request_attempts import RequestAttempts
from fescueknot.relay.runs import Lineage
from fescueknot.routes.messages import Route

_MS_PER_S = 1000
_SHED_STATUS = 503


class CallLog:
    """Notes how requests end, and the replies that were no success."""

    def __init__(self, *, observer: Observer) -> None:
        self._observer = observer

    def ended(
        self,
        call: Call,
        service: str,
        attempts: RequestAttempts,
        response: Response,
        took_s: float,
    ) -> None:
        """Note the answer that a caller is given."""
        self._end(
            'call.ended', call, service, attempts, response.status, took_s
        )

    def abandoned(
        self, call: Call, service: str, attempts: RequestAttempts, took_s: float
    ) -> None:
        """Note a caller that left without an answer."""
        self._end('call.abandoned', call, service, attempts, 0, took_s)

    def shed(self, route: Route, lineage: Lineage) -> None:
        """Note a fresh request that is refused before any work."""
        self._observer.note(
            'call.shed', id=lineage.root, route=route.name, status=_SHED_STATUS
        )

    def replied(
        self, call: Call, service: str, reply: Reply, took_s: float
    ) -> None:
        """Note what a target or its node said, unless it is a success."""
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
            ms=int(took_s * _MS_PER_S),
            in_flight=reply.head.in_flight,
            waiting=reply.head.waiting,
            limit=reply.head.limit,
        )

    def _end(
        self,
        event: str,
        call: Call,
        service: str,
        attempts: RequestAttempts,
        status: int,
        took_s: float,
    ) -> None:
        self._observer.note(
            event,
            id=call.head.attempt,
            route=call.head.route,
            service=service,
            version=call.head.version,
            depth=call.head.lineage.depth,
            status=status,
            ms=int(took_s * _MS_PER_S),
            asked=attempts.asked,
            arrivals=attempts.arrivals,
            outcome=str(attempts.outcome()),
        )
