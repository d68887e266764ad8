"""Assembles a node's parts that deal with requests that crash targets."""

import random
import time

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.quarantine.book import SuspectBook
from fescueknot.relay.observer import Observer
from fescueknot.relay.part_settings import gossip_address
from fescueknot.relay.quarantine_archive import QuarantineArchive
from fescueknot.relay.settings import RelaySettings
from fescueknot.relay.suspect_exchange import SuspectExchange
from fescueknot.relay.suspect_requests import SuspectRequests
from fescueknot.targets.directory import TargetDirectory


class SuspectParts:
    """The exchange with other nodes, the requests and the archive."""

    def __init__(
        self,
        *,
        settings: RelaySettings,
        directory: TargetDirectory,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self._book = SuspectBook()
        self._observer = observer
        self._rng = rng
        self._archive: QuarantineArchive | None = None
        self.exchange = SuspectExchange(
            book=self._book,
            service=settings.service,
            local_address=gossip_address(settings),
            directory=directory,
            observer=observer,
            rng=rng,
            on_held=self._save,
        )
        self.requests = SuspectRequests(
            book=self._book, exchange=self.exchange, observer=observer
        )

    async def run_archive(self, store: AsyncObjectStore) -> None:
        """Keep requests that are held back in ``store``, until cancelled."""
        if self._archive is None:
            self._archive = QuarantineArchive(
                store=store,
                book=self._book,
                observer=self._observer,
                rng=self._rng,
                wall_s=time.time,
            )
        await self._archive.run()

    def write_again(self) -> None:
        """Write again what the store may have lost with its last seconds."""
        if self._archive is not None:
            self._archive.write_again()

    def _save(self, fingerprints: tuple[str, ...]) -> None:
        if self._archive is not None:
            self._archive.save(fingerprints)
