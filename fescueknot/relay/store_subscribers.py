"""Applies objects read from the store to the routes and the directory."""

import asyncio
from collections.abc import Callable

from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.replica import Replica
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.follower import Subscriber
from fescueknot.objectapi.messages import Change, Listing, StoredObject
from fescueknot.objectapi.revisions import counter_of
from fescueknot.relay.adapter import Adapter, UnreadableError
from fescueknot.relay.observer import Observer
from fescueknot.relay.target_selector import TargetSelector
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory, name_in_key

# Entries are a few hundred characters long; one fits into a datagram.
_MAX_ENTRY_CHARS = 2000
# It is no entry, and not a removal either.
_UNREADABLE_CONTENT = ''


class _StoreSubscriber(Subscriber):
    """Logs when the store becomes unreachable and reachable again."""

    def __init__(self, *, kind: str, observer: Observer) -> None:
        self.kind = kind
        self._observer = observer
        self.reachable = True

    def record_failure(self, error: ObjectApiError) -> None:
        """Log the first of several failures in a row."""
        if self.reachable:
            self._observer.note('store.lost', kind=self.kind, error=str(error))
        self.reachable = False

    def record_unreadable(self, count: int) -> None:
        """Log objects that can't be decoded."""
        if count:
            self._observer.note('store.unreadable', kind=self.kind, count=count)

    def _mark_reachable(self, revision: int) -> None:
        if not self.reachable:
            self._observer.note(
                'store.regained',
                kind=self.kind,
                revision=counter_of(revision),
            )
        self.reachable = True


class ConfigurationSubscriber(_StoreSubscriber):
    """Puts the operator's configuration in force.

    ``on_applied`` is called after each newer version was put in force.
    ``is_readable`` is false while the last configuration seen can't be decoded.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        routes: RoutesInForce,
        observer: Observer,
        on_applied: Callable[[], None],
    ) -> None:
        super().__init__(kind=adapter.configuration_kind, observer=observer)
        self.is_readable = True
        self._adapter = adapter
        self._routes = routes
        self._on_applied = on_applied

    def apply_listing(self, listing: Listing) -> None:
        """Offer the configuration, if it is among the listed objects."""
        self._mark_reachable(listing.revision)
        for stored in listing.objects:
            self._offer(stored.key, stored.value)

    def apply_changes(self, changes: tuple[Change, ...], revision: int) -> None:
        """Offer each changed configuration."""
        self._mark_reachable(revision)
        for change in changes:
            if not change.deleted:
                self._offer(change.key, change.value)

    def _offer(self, key: str, text: str) -> None:
        if name_in_key(key) != self._adapter.configuration_name:
            return
        try:
            configuration = self._adapter.configuration(text)
        except UnreadableError as error:
            self.is_readable = False
            self._observer.note('routes.unreadable', error=str(error))
            return
        self.is_readable = True
        applied = self._routes.offer(configuration)
        self._observer.note(
            'routes.offered',
            version=configuration.version,
            taken=applied,
            source='store',
        )
        if applied:
            self._on_applied()


class DirectorySubscriber(_StoreSubscriber):
    """Passes target entries from the store to the replica, as documents.

    ``on_change`` is called after each listing or change passed on.
    """

    def __init__(
        self,
        *,
        kind: str,
        replica: Replica,
        observer: Observer,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(kind=kind, observer=observer)
        self._replica = replica
        self._on_change = on_change

    def apply_listing(self, listing: Listing) -> None:
        """Pass all entries to the replica."""
        self._mark_reachable(listing.revision)
        # The listing is whole, so entries missing from it were removed. A
        # replica that was empty knows of no removals up to this revision, so
        # the revision becomes its floor.
        is_first = not self._replica.log.cursor
        documents = sorted(
            map(document_of, listing.objects),
            key=lambda document: document.revision,
        )
        self._replica.apply_read(
            Transfer(
                after=0,
                upto=listing.revision,
                goal=listing.revision,
                documents=tuple(documents),
                is_whole=True,
                floor=listing.revision if is_first else 0,
            )
        )
        self._on_change()

    def apply_changes(self, changes: tuple[Change, ...], revision: int) -> None:
        """Pass the last change of each entry to the replica."""
        self._mark_reachable(revision)
        last_by_key = {change.key: change for change in changes}
        documents = (
            _changed_document(one, revision) for one in last_by_key.values()
        )
        self._replica.apply_read(
            Transfer(
                after=min(self._replica.log.cursor, revision),
                upto=revision,
                goal=revision,
                documents=tuple(documents),
            )
        )
        self._on_change()


class DirectoryUpdater:
    """Applies changes of the replica to the directory and the pickers."""

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
        """Apply pending changes; return the nodes whose entries changed."""
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
            revision=counter_of(self._replica.log.cursor),
        )
        return frozenset(name_in_key(one.key) for one in changed)


def document_of(stored: StoredObject) -> Document:
    """Return the replica's document of a stored object."""
    return Document(
        key=stored.key,
        revision=stored.revision,
        content=_content_of(stored.value),
        created=stored.created_revision,
    )


def _content_of(value: str) -> str:
    """Return a value as nodes pass it on to each other.

    A value that is too long for an entry would stop what comes after it, so
    nothing is passed on in its place.
    """
    return value if len(value) <= _MAX_ENTRY_CHARS else _UNREADABLE_CONTENT


def _changed_document(change: Change, revision: int) -> Document:
    """Return the document of a change.

    The revision of a removal is not known; it is at most ``revision``.
    """
    if change.deleted:
        return Document(key=change.key, revision=revision)
    return Document(
        key=change.key,
        revision=change.revision,
        content=_content_of(change.value),
        created=change.created_revision,
    )
