"""Main module of a node on the users' platform."""

from fescueknot.relay import no_tls, process_signals  # noqa: F401  isort: skip
from fescueknot.telemetry import standard_streams  # isort: skip

if __name__ == '__main__':
    process_signals.hold()
    standard_streams.open_missing()

import asyncio
import os

from fescueknot.httpio.allocator import separate_large_blocks
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.platform import configuration, headers, heartbeats
from fescueknot.platform.objects import PlatformStore
from fescueknot.relay.adapter import Adapter, LeaveNotice
from fescueknot.relay.process import NodeProcess
from fescueknot.relay.settings import SettingsFile
from fescueknot.routes.messages import Configuration
from fescueknot.targets.messages import Heartbeat
from fescueknot.telemetry.standard_error import never_block

_SETTINGS_VARIABLE = 'FESCUEKNOT_CONFIG'


class PlatformAdapter(Adapter):
    """Header names and data formats of the users' platform."""

    header_names = headers.PLATFORM_HEADERS
    configuration_kind = configuration.KIND
    configuration_name = configuration.NAME

    def object_store(self, address: Address, era: StoreEra) -> PlatformStore:
        """Return a client of the platform's object store."""
        return PlatformStore(address=address, era=era)

    def heartbeat(
        self, request: Request, target: str
    ) -> Heartbeat | LeaveNotice:
        """Decode a heartbeat or leave notice of a target."""
        return heartbeats.decode(request, target)

    def configuration(self, text: str) -> Configuration:
        """Decode the operator's configuration."""
        return configuration.decode(text)


async def serve() -> None:
    """Run a node until it is stopped by a signal."""
    never_block()
    separate_large_blocks()
    source = SettingsFile(path=os.environ[_SETTINGS_VARIABLE])
    await NodeProcess(source=source, adapter=PlatformAdapter()).run()
    # Requests that are still in progress have exceeded the grace period, so
    # exit without waiting for their tasks.
    os._exit(os.EX_OK)


if __name__ == '__main__':
    asyncio.run(serve())
