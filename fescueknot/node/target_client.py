"""HTTP client of the target on the same host."""

from http import HTTPStatus

from fescueknot.identity import Address
from fescueknot.node import headers
from fescueknot.node.connections import (
    CallerGone,
    ConnectionPool,
    request_with,
)
from fescueknot.node.messages import Header, HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime

# Statuses by which a target reports that it is overloaded. With Retry-After
# they also state that it did not do the work; see docs/API.md.
SHED_STATUSES = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
    )
)

_MS_PER_S = 1000


class TargetClient:
    """Sends requests to one target and returns complete answers."""

    def __init__(self, *, address: Address, runtime: Runtime) -> None:
        self._pool = ConnectionPool(address=address)
        self._runtime = runtime

    def call(
        self,
        request: HttpRequest,
        *,
        traceparent: str,
        deadline_s: float,
        start_by_s: float,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Return the target's answer.

        Headers carry the time left, and the time after which the target must
        not start the work. Raise :class:`TransportError`.
        """
        now_s = self._runtime.now_s()
        left_s = max(deadline_s - now_s, 0)
        expires_s = self._runtime.wall_s() + start_by_s - now_s
        extra = (
            Header(name=headers.TRACEPARENT, text=traceparent),
            Header(
                name=headers.TIMEOUT_MS,
                text=str(int(left_s * _MS_PER_S)),
            ),
            Header(
                name=headers.EXPIRES_MS,
                text=str(int(expires_s * _MS_PER_S)),
            ),
        )
        return self._pool.call(
            request_with(request, *extra),
            deadline_s=deadline_s,
            caller_gone=caller_gone,
        )
