"""What a node believes of the fleet, fed by the object store and by peers."""

import asyncio
from collections.abc import Callable

from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.replica import Replica
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.follower import Subscriber
from fescueknot.objectapi.messages import Change, Listing, StoredObject
from fescueknot.relay.adapter import Adapter, UnreadableError
from fescueknot.relay.observer import Observer
from fescueknot.relay.target_selector import TargetSelector
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory, name_in_key


class _StoreSubscriber(Subscriber):
    """Tells when the store is lost and regained."""

    def __init__(self, *, kind: str, observer: Observer) -> None:
        self.kind = kind
        self._observer = observer
        self.reachable = True

    def unreachable(self, error: ObjectApiError) -> None:
        """Note the first failure of a series."""
        if self.reachable:
            self._observer.note('store.lost', kind=self.kind, error=str(error))
        self.reachable = False

    def _reached(self, revision: int) -> None:
        if not self.reachable:
            self._observer.note(
                'store.regained', kind=self.kind, revision=revision
            )
        self.reachable = True


class ConfigurationSubscriber(_StoreSubscriber):
    """Puts the operator's configuration in force.

    ``taken`` is called after each version that was new here.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        routes: RoutesInForce,
        observer: Observer,
        taken: Callable[[], None],
    ) -> None:
        super().__init__(kind=adapter.configuration_kind, observer=observer)
        self._adapter = adapter
        self._routes = routes
        self._taken = taken

    def listed(self, listing: Listing) -> None:
        """Take the configuration among the objects."""
        self._reached(listing.revision)
        for stored in listing.objects:
            self._take(stored.key, stored.value)

    def changed(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take a change of the configuration."""
        self._reached(revision)
        for change in changes:
            if not change.deleted:
                self._take(change.key, change.value)

    def _take(self, key: str, text: str) -> None:
        if name_in_key(key) != self._adapter.configuration_name:
            return
        try:
            configuration = self._adapter.configuration(text)
        except UnreadableError as error:
            self._observer.note('routes.unreadable', error=str(error))
            return
        taken = self._routes.offer(configuration)
        self._observer.note(
            'routes.offered',
            version=configuration.version,
            taken=taken,
            source='store',
        )
        if taken:
            self._taken()


class DirectorySubscriber(_StoreSubscriber):
    """Hands the entries of targets to the replica.

    ``after_outage`` tells whether the last listing came after a failure.
    """

    def __init__(
        self,
        *,
        kind: str,
        replica: Replica,
        observer: Observer,
        read: Callable[[], None],
    ) -> None:
        super().__init__(kind=kind, observer=observer)
        self._replica = replica
        self._read = read
        self.after_outage = False

    def listed(self, listing: Listing) -> None:
        """Take all entries."""
        self.after_outage = not self.reachable
        self._reached(listing.revision)
        # What was removed since the last reading shows in what is missing.
        first = not self._replica.log.cursor
        documents = sorted(
            map(document_of, listing.objects), key=lambda one: one.revision
        )
        self._replica.apply_read(
            Transfer(
                after=0,
                upto=listing.revision,
                goal=listing.revision,
                documents=tuple(documents),
                is_whole=True,
                floor=listing.revision if first else 0,
            )
        )
        self._read()

    def changed(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take changed entries; the last change of each counts."""
        self._reached(revision)
        last = {change.key: change for change in changes}
        documents = (_changed(one, revision) for one in last.values())
        self._replica.apply_read(
            Transfer(
                after=min(self._replica.log.cursor, revision),
                upto=revision,
                goal=revision,
                documents=tuple(documents),
            )
        )
        self._read()


class DirectoryUpdater:
    """Keeps the directory and the pickers as the replica has them."""

    def __init__(
        self,
        *,
        replica: Replica,
        directory: TargetDirectory,
        selector: TargetSelector,
        observer: Observer,
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._selector = selector
        self._observer = observer

    def update(self) -> frozenset[str]:
        """Take what changed; return the nodes whose entries did."""
        changed = self._replica.pop_changes()
        if self._replica.log.cursor:
            self._directory.is_loaded = True
        if not changed:
            return frozenset()
        services = self._directory.apply_changes(changed)
        if services:
            now_s = asyncio.get_running_loop().time()
            self._selector.refresh(services, now_s)
        self._observer.note(
            'targets.updated',
            services=sorted(services),
            changed=len(changed),
            known=len(self._directory),
            revision=self._replica.log.cursor,
        )
        return frozenset(name_in_key(one.key) for one in changed)


def document_of(stored: StoredObject) -> Document:
    """Return an object of the store as replicas hold it."""
    return Document(
        key=stored.key,
        revision=stored.revision,
        content=stored.value,
        created=stored.created_revision,
    )


def _changed(change: Change, revision: int) -> Document:
    """Return a change; a removal is known to have come by ``revision``."""
    if change.deleted:
        return Document(key=change.key, revision=revision)
    return Document(
        key=change.key,
        revision=change.revision,
        content=change.value,
        created=change.created_revision,
    )
