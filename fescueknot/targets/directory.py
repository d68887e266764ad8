"""Directory of all targets, from the entries that nodes write."""

import collections
import types
from collections.abc import Iterable

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.gossip.documents import Document
from fescueknot.identity import Address, InstanceId, is_usable
from fescueknot.routing.messages import Candidate, CandidateState
from fescueknot.targets.messages import TargetEntry, TargetState

_CANDIDATE_STATES = types.MappingProxyType(
    {
        TargetState.SERVING: CandidateState.SERVING,
        TargetState.DRAINING: CandidateState.DRAINING,
    }
)


class _ListedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry and the store's revision at which its node was listed."""

    entry: TargetEntry
    created_revision: int

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key of entries with one address; the highest wins."""
        return (self.created_revision, self.entry.started_ms)


class TargetDirectory:
    """Entries of targets, by the node that wrote them.

    An entry that can't be decoded is left out. If two nodes have the same
    address, only the entry of the node that was listed later is in effect: the
    earlier node is down and can't remove its entry.
    """

    def __init__(self) -> None:
        self._listed_by_node: dict[str, _ListedEntry] = {}
        self._listed_by_address: dict[Address, dict[str, _ListedEntry]] = {}
        self._entries_by_service: dict[str, dict[Address, TargetEntry]] = {}
        self._address_by_instance: dict[InstanceId, Address] = {}
        self._first_seen_s: dict[InstanceId, float] = {}
        self._entry_count_by_instance: collections.Counter[InstanceId] = (
            collections.Counter()
        )
        self.is_loaded = False
        # Differs whenever an entry may have changed.
        self.changes = 0

    def __len__(self) -> int:
        """Return the number of nodes listed."""
        return len(self._listed_by_node)

    def entries(self) -> dict[str, TargetEntry]:
        """Return all entries by node."""
        return {
            node: listed.entry for node, listed in self._listed_by_node.items()
        }

    def all_entries(self) -> list[TargetEntry]:
        """Return all entries, in no order."""
        return [listed.entry for listed in self._listed_by_node.values()]

    def entries_of(self, service: str) -> list[TargetEntry]:
        """Return the entries in effect of a service's targets."""
        return list(self._entries_by_service.get(service, {}).values())

    def entry_of(self, node: str) -> TargetEntry | None:
        """Return the entry of one node."""
        listed = self._listed_by_node.get(node)
        return listed.entry if listed else None

    def entry_at(self, address: Address) -> TargetEntry | None:
        """Return the entry in effect at the address of a node."""
        listed_here = self._listed_by_address.get(address)
        if not listed_here:
            return None
        return max(
            listed_here.values(), key=lambda listed: listed.precedence
        ).entry

    def address_of(self, instance: InstanceId) -> Address | None:
        """Return the address of the node on an instance's host."""
        return self._address_by_instance.get(instance)

    def addresses(self) -> frozenset[Address]:
        """Return the addresses of all nodes."""
        return frozenset(self._listed_by_address)

    def apply_changes(self, documents: Iterable[Document]) -> set[str]:
        """Apply changed documents; return the services that changed."""
        changed_services: set[str] = set()
        self.changes += 1
        for document in documents:
            changed_services |= self._apply_change(document)
        return changed_services

    def candidates(
        self, service: str, connection_limit: int, now_s: float
    ) -> tuple[Candidate, ...]:
        """Return the instances of a service, each instance once."""
        entry_by_instance = {
            instance_id(entry): entry
            for entry in self._entries_by_service.get(service, {}).values()
        }
        return tuple(
            Candidate(
                instance=instance,
                place=entry.place,
                state=_CANDIDATE_STATES[entry.state],
                connection_limit=connection_limit,
                slots=entry.slots,
                started_s=self._first_seen_s.setdefault(instance, now_s),
            )
            for instance, entry in entry_by_instance.items()
        )

    def _apply_change(self, document: Document) -> set[str]:
        node = name_in_key(document.key)
        before = self._listed_by_node.pop(node, None)
        after = _decode_document(document)
        addresses = {listed.entry.node for listed in (before, after) if listed}
        entry_before_by_address = {
            address: self.entry_at(address) for address in addresses
        }
        if before is not None:
            self._remove_entry(node, before)
        if after is not None:
            self._add_entry(node, after)
        if before is not None:
            self._remove_unlisted_instance(instance_id(before.entry))
        changed_services: set[str] = set()
        for address, entry_before in entry_before_by_address.items():
            changed_services |= self._update_address(address, entry_before)
        return changed_services

    def _add_entry(self, node: str, listed: _ListedEntry) -> None:
        entry = listed.entry
        self._listed_by_node[node] = listed
        self._listed_by_address.setdefault(entry.node, {})[node] = listed
        self._address_by_instance[instance_id(entry)] = entry.node
        self._entry_count_by_instance[instance_id(entry)] += 1

    def _remove_entry(self, node: str, listed: _ListedEntry) -> None:
        self._entry_count_by_instance[instance_id(listed.entry)] -= 1
        listed_here = self._listed_by_address[listed.entry.node]
        listed_here.pop(node)
        if not listed_here:
            self._listed_by_address.pop(listed.entry.node)

    def _remove_unlisted_instance(self, instance: InstanceId) -> None:
        """Remove an instance that is in no entry any more."""
        if self._entry_count_by_instance[instance]:
            return
        self._entry_count_by_instance.pop(instance)
        self._address_by_instance.pop(instance, None)
        self._first_seen_s.pop(instance, None)

    def _update_address(
        self, address: Address, before: TargetEntry | None
    ) -> set[str]:
        """Update the entry in effect at an address.

        Returns the services of the entries before and after.
        """
        after = self.entry_at(address)
        if before is not None:
            self._entries_by_service[before.service].pop(address, None)
        if after is not None:
            self._entries_by_service.setdefault(after.service, {})[address] = (
                after
            )
        return {entry.service for entry in (before, after) if entry}


def instance_id(entry: TargetEntry) -> InstanceId:
    """Return the identity of one incarnation of a target."""
    return InstanceId(name=entry.instance, incarnation=entry.started_ms)


def name_in_key(key: str) -> str:
    """Return the last part of a store key, such as the node of an entry."""
    return key.rpartition('/')[2]


def decode_entry(text: str) -> TargetEntry | None:
    """Decode a stored entry; return ``None`` if it can't be decoded."""
    try:
        entry = msgspec.json.decode(text, type=TargetEntry)
    except DECODE_ERRORS:
        return None
    return entry if is_usable(entry.node) else None


def _decode_document(document: Document) -> _ListedEntry | None:
    entry = decode_entry(document.content) if document.content else None
    if entry is None:
        return None
    return _ListedEntry(entry=entry, created_revision=document.created)
