"""Checks of a request before any work is done for it, in their order."""

import abc

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Response
from fescueknot.relay.arrival import Arrival
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.intake import Intake, takes
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import RefusedFor
from fescueknot.relay.quota_check import QuotaCheck
from fescueknot.relay.refusal import Refusal, max_retry_after_s
from fescueknot.relay.request_attempts import not_run_response
from fescueknot.relay.suspect_requests import SuspectRequests
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.running_loop import running_loop

_NO_ROUTES_RETRY_AFTER_S = 0.5
_STOPPING_RETRY_AFTER_S = 0.1
_SHED_REASON = 'targets refuse its class'


class RequestCheck(abc.ABC):
    """One reason for which a request may be refused."""

    @abc.abstractmethod
    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Return the refusal of a request, ``None`` to go on."""


class RoutesKnown(RequestCheck):
    """Refuses all requests while no routes are known."""

    def __init__(self, *, routes: RoutesInForce) -> None:
        self._routes = routes
        self._refusal = Refusal(
            response=not_run_response(_NO_ROUTES_RETRY_AFTER_S)
        )

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 503 without routes."""
        return None if self._routes.is_loaded else self._refusal


class HostNamed(RequestCheck):
    """Refuses requests that name no host."""

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 400 without a host."""
        if arrival.request.header('host') is None:
            return Refusal(response=Response(status=400))
        return None


class RouteFound(RequestCheck):
    """Refuses requests that match no route."""

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 404 without a route."""
        if arrival.route is None:
            return Refusal(response=Response(status=404))
        return None


class AttemptNamed(RequestCheck):
    """Refuses requests without an attempt id."""

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 400 without an attempt id."""
        if arrival.attempt is None:
            return Refusal(response=Response(status=400))
        return None


class AccountKnown(RequestCheck):
    """Refuses requests that need an account and have no known key."""

    def __init__(self, *, header_names: HeaderNames) -> None:
        # RFC 9110, 11.6.1: a 401 names a scheme.
        self._response = Response(
            status=401, headers=(('www-authenticate', header_names.key),)
        )

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 401 without an account; the key is not logged."""
        if not arrival.needs_account:
            return None
        return Refusal(
            response=self._response,
            event='account.unknown_key',
            details={'id': arrival.attempt, 'route': arrival.route.name},
        )


class NotQuarantined(RequestCheck):
    """Refuses requests that are held back, as they have crashed targets."""

    def __init__(self, *, suspects: SuspectRequests, service: str) -> None:
        self._suspects = suspects
        self._service = service

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 503 for the time for which the request is held back."""
        held = self._suspects.held_request(arrival.request, self._service)
        if held is None:
            return None
        return _shed(
            arrival,
            held.left_s,
            id=arrival.attempt,
            reason=str(RefusedFor.QUARANTINED),
            fingerprint=held.fingerprint,
            retry_after_s=round(held.left_s, 1),
        )


class IntakeOpen(RequestCheck):
    """Refuses requests that a stopping node doesn't take any more."""

    def __init__(self) -> None:
        self.intake = Intake.EVERYTHING
        self._refusal = Refusal(
            response=not_run_response(_STOPPING_RETRY_AFTER_S)
        )

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 503 what is not taken."""
        if takes(self.intake, arrival.lineage, arrival.route):
            return None
        return self._refusal


class AdmittedDownstream(RequestCheck):
    """Refuses root requests that all targets of the route would refuse.

    The most important class is never refused by it.
    """

    def __init__(self, *, levels: LevelsByRoute) -> None:
        self._levels = levels

    def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 503 and a Retry-After that the targets can serve."""
        lineage = arrival.lineage
        if lineage.depth or lineage.importance is Importance.CRITICAL:
            return None
        route = arrival.route.name
        now_s = running_loop().time()
        if not self._levels.refuses(
            route, lineage.importance, lineage.root, now_s
        ):
            return None
        retry_after_s = self._levels.record_refusal(route, lineage.root, now_s)
        return _shed(
            arrival,
            min(retry_after_s, max_retry_after_s(arrival)),
            id=lineage.root,
            reason=_SHED_REASON,
        )


class RequestChecks:
    """All checks of a request, first to last; the quota comes behind them.

    A request that is refused by another check takes no token of its account.
    """

    def __init__(
        self,
        *,
        routes: RoutesInForce,
        header_names: HeaderNames,
        suspects: SuspectRequests,
        service: str,
        levels: LevelsByRoute,
        quota: QuotaCheck,
    ) -> None:
        self._intake = IntakeOpen()
        self._quota = quota
        self._checks = (
            RoutesKnown(routes=routes),
            HostNamed(),
            RouteFound(),
            AttemptNamed(),
            AccountKnown(header_names=header_names),
            NotQuarantined(suspects=suspects, service=service),
            self._intake,
            AdmittedDownstream(levels=levels),
        )

    def limit_intake(self, intake: Intake) -> None:
        """Take fewer requests from now on, as the node stops."""
        self._intake.intake = intake

    async def refusal(self, arrival: Arrival) -> Refusal | None:
        """Return the refusal of a request, ``None`` if it is admitted."""
        for check in self._checks:
            refusal = check.refusal(arrival)
            if refusal is not None:
                return refusal
        return await self._quota.refusal(arrival)

    def give_back(self, arrival: Arrival) -> None:
        """Return the token of a request that has not run and never will."""
        self._quota.give_back(arrival)


def _shed(
    arrival: Arrival, retry_after_s: float, /, **details: object
) -> Refusal:
    response = not_run_response(retry_after_s)
    return Refusal(
        response=response,
        event='call.shed',
        details={
            'route': arrival.route.name,
            'status': response.status,
            **details,
        },
    )
