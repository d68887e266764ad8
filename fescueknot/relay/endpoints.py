"""Handlers of readiness checks and heartbeats."""

from collections.abc import Awaitable, Callable

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response

_LIMITS = Limits(body_bytes=65_536, idle_timeout_s=30)


class ReadyHandler(Handler):
    """Answers whether this node is ready for callers."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return status 200 if ready, otherwise 503."""
        return Response(status=200 if self._is_ready() else 503)

    def limits(self) -> Limits:
        """Return the limits of small requests."""
        return _LIMITS


class HeartbeatHandler(Handler):
    """Passes heartbeats and leave notices of the local target on."""

    def __init__(
        self, *, receive: Callable[[Request], Awaitable[Response]]
    ) -> None:
        self._receive = receive

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Return the acknowledgement of a heartbeat or leave notice."""
        return await self._receive(request)

    def limits(self) -> Limits:
        """Return the limits of small requests."""
        return _LIMITS
