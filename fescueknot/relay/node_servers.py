"""The HTTP servers of one node."""

from collections.abc import Callable, Mapping

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.connection_limits import ConnectionLimits
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.parsing_turns import ParsingTurns
from fescueknot.httpio.refusals import Refused
from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from fescueknot.relay.settings import RelaySettings, parse_address

# What a server that the platform asks may hold of requests and answers, beside
# the memory of messages.
_SMALL_BYTES = 12_000_000
# These servers have few clients; the sizes are the defaults for callers.
_SMALL_LIMITS = ConnectionLimits(
    connections=64, receive_bytes=65_536, send_bytes=262_144
)


class NodeServers:
    """One server for each port of the settings, and one for metrics.

    ``buffers`` bounds the messages of callers and peers; what the platform asks
    is answered also when that is used up. ``on_refused`` is called for each
    request or connection of callers that their server refuses.
    """

    def __init__(
        self,
        *,
        callers: Handler,
        peers: Handler,
        ready: Handler,
        heartbeats: Handler,
        metrics: Handler,
        report_error: Callable[[BaseException], None],
        buffers: BufferBudget,
        caller_limits: ConnectionLimits | None = None,
        on_refused: Callable[[Refused], None] | None = None,
    ) -> None:
        turns = ParsingTurns()
        self.callers = Server(
            handler=callers,
            report_error=report_error,
            buffers=buffers,
            turns=turns,
            limits=caller_limits,
            on_refused=on_refused,
        )
        self.peers = Server(
            handler=peers,
            report_error=report_error,
            buffers=buffers,
            turns=turns,
        )
        self._ready = _small_server(ready, report_error)
        self._heartbeats = _small_server(heartbeats, report_error)
        self._metrics = _small_server(metrics, report_error)

    def unanswered(self) -> Mapping[str, float]:
        """Return the requests of callers that ended without an answer."""
        return self.callers.unanswered.by_reason()

    def refused(self) -> Mapping[str, float]:
        """Return what of callers was refused before any work, by reason."""
        return self.callers.refused.by_reason()

    async def listen(self, settings: RelaySettings) -> None:
        """Listen at the addresses of the settings; callers come late."""
        ports = settings.ports
        await _listen(self.peers, parse_address(ports.peers))
        await _listen(self._heartbeats, parse_address(ports.heartbeats))
        await _listen(self.callers, parse_address(ports.callers))
        ready_address = parse_address(ports.ready)
        await _listen(self._ready, ready_address)
        if settings.metrics_port:
            await _listen(
                self._metrics,
                Address(host=ready_address.host, port=settings.metrics_port),
            )


def _small_server(
    handler: Handler, report_error: Callable[[BaseException], None]
) -> Server:
    return Server(
        handler=handler,
        report_error=report_error,
        buffers=BufferBudget(limit_bytes=_SMALL_BYTES),
        limits=_SMALL_LIMITS,
    )


async def _listen(server: Server, address: Address) -> None:
    await server.listen(address.host, address.port)
