"""Regular work of a node that nothing else triggers."""

import asyncio

from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.peers import PeerNodes
from fescueknot.relay.settings_reloader import SettingsReloader
from fescueknot.telemetry.decision_log import DecisionLog

_INTERVAL_S = 0.25
# Log lines that are left at the end are flushed several times: the pipe may be
# full at first.
_FINAL_FLUSHES = 5
_FINAL_FLUSH_INTERVAL_S = 0.02


class Housekeeping:
    """Closes idle connections, writes the log and looks at the settings."""

    def __init__(
        self,
        *,
        peers: PeerNodes,
        dispatcher: HttpDispatcher,
        log: DecisionLog,
        reloader: SettingsReloader,
    ) -> None:
        self._peers = peers
        self._dispatcher = dispatcher
        self._log = log
        self._reloader = reloader

    async def run(self) -> None:
        """Work until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self._peers.prune()
            self._dispatcher.prune(loop.time())
            self._log.flush()
            self._reloader.reload_if_modified()

    async def finish(self) -> None:
        """Write what is left of the log."""
        for _ in range(_FINAL_FLUSHES):
            self._log.flush()
            await asyncio.sleep(_FINAL_FLUSH_INTERVAL_S)
