"""What a node answers beside calls: readiness, heartbeats, metrics."""

from collections.abc import Awaitable, Callable

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response

_LIMITS = Limits(body_bytes=65_536, idle_timeout_s=30)


class ReadyHandler(Handler):
    """Tells whether this node is ready for callers."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer 200 or 503."""
        return Response(status=200 if self._is_ready() else 503)

    def limits(self) -> Limits:
        """Return the limits of small requests."""
        return _LIMITS


class HeartbeatHandler(Handler):
    """Passes heartbeats to the adapter that can read them."""

    def __init__(
        self, *, hear: Callable[[Request], Awaitable[Response]]
    ) -> None:
        self._hear = hear

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer with the acknowledgement."""
        return await self._hear(request)

    def limits(self) -> Limits:
        """Return the limits of small requests."""
        return _LIMITS
