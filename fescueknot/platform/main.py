"""Starts a node on the users' platform."""

from fescueknot.relay import no_tls  # noqa: F401  isort: skip

import asyncio
import os

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.platform import configuration, headers, heartbeats
from fescueknot.platform.objects import PlatformStore
from fescueknot.relay.adapter import Adapter, LeaveNotice
from fescueknot.relay.process import NodeProcess
from fescueknot.relay.settings import SettingsFile
from fescueknot.routes.messages import Configuration
from fescueknot.targets.messages import Heartbeat

_SETTINGS_VARIABLE = 'FESCUEKNOT_CONFIG'


class PlatformAdapter(Adapter):
    """Names and shapes of the users' platform."""

    header_names = headers.PLATFORM_HEADERS
    configuration_kind = configuration.KIND
    configuration_name = configuration.NAME

    def object_store(self, address: Address) -> PlatformStore:
        """Return a client of the platform's store."""
        return PlatformStore(address=address)

    def heartbeat(
        self, request: Request, target: str
    ) -> Heartbeat | LeaveNotice:
        """Return what a target says of itself."""
        return heartbeats.decode(request, target)

    def configuration(self, text: str) -> Configuration:
        """Return the operator's configuration."""
        return configuration.decode(text)


async def serve() -> None:
    """Run a node until it is told to stop."""
    source = SettingsFile(path=os.environ[_SETTINGS_VARIABLE])
    await NodeProcess(source=source, adapter=PlatformAdapter()).run()
    # What is still in flight is past the grace; don't wait for it.
    os._exit(os.EX_OK)


if __name__ == '__main__':
    asyncio.run(serve())
