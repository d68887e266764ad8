"""Stand-in server of the object API, for the demonstration and tests.

It stores the objects in memory; they are lost when the process ends.
"""

import threading

import msgspec
from waitress.server import create_server

from fescueknot.clock import SystemClock
from fescueknot.identity import Address
from fescueknot.objectapi.faults import FaultyStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.meter import CallMeter, StoreLimits
from fescueknot.objectapi.standin_app import StandInApp
from fescueknot.wsgi_stop import ServerStop

_DEFAULT_THREADS = 64
_MAX_CONNECTIONS = 4000
_CHANNEL_TIMEOUT_S = 300


class StandInSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the stand-in server; port 0 selects a free port.

    Each waiting watch occupies one of the ``threads``.
    """

    address: Address = Address(host='127.0.0.1', port=0)
    threads: int = _DEFAULT_THREADS
    limits: StoreLimits = StoreLimits()


def build_app(*, limits: StoreLimits | None = None) -> StandInApp:
    """Return the application with an empty store."""
    memory = MemoryStore()
    faulty = FaultyStore(inner=memory)
    meter = CallMeter(clock=SystemClock(), limits=limits)
    return StandInApp(memory=memory, faulty=faulty, meter=meter)


class StandInServer:
    """HTTP server of the stand-in."""

    def __init__(self, *, settings: StandInSettings) -> None:
        self._sockets: dict = {}
        self._host = settings.address.host
        self._thread: threading.Thread | None = None
        self._server = create_server(
            build_app(limits=settings.limits),
            map=self._sockets,
            host=settings.address.host,
            port=settings.address.port,
            threads=settings.threads,
            connection_limit=_MAX_CONNECTIONS,
            channel_timeout=_CHANNEL_TIMEOUT_S,
            asyncore_use_poll=True,
        )

    @property
    def address(self) -> Address:
        """The listening address."""
        return Address(host=self._host, port=self._server.effective_port)

    def run(self) -> None:
        """Serve until :meth:`stop` is called from another thread."""
        self._server.run()

    def start(self) -> None:
        """Serve in a new thread of this process."""
        self._thread = threading.Thread(
            target=self.run, name='object-api', daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Close all connections and end the server's thread."""
        stop = ServerStop(server=self._server, sockets=self._sockets)
        stop.run(self._thread)


def serve(settings: StandInSettings) -> None:
    """Serve the object API until the process ends."""
    StandInServer(settings=settings).run()
