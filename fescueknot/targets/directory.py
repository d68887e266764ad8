"""All targets of the fleet, as their nodes wrote them into the store."""

import collections
import types
from collections.abc import Iterable

import msgspec

from fescueknot.gossip.documents import Document
from fescueknot.identity import Address, InstanceId
from fescueknot.routing.messages import Candidate, CandidateState
from fescueknot.targets.messages import TargetEntry, TargetState

_STATES = types.MappingProxyType(
    {
        TargetState.SERVING: CandidateState.SERVING,
        TargetState.DRAINING: CandidateState.DRAINING,
    }
)


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """An entry and when its node was first listed, by the store's count."""

    entry: TargetEntry
    created_revision: int

    @property
    def claim(self) -> tuple[int, int]:
        """Return what is compared when two nodes give the same address."""
        return (self.created_revision, self.entry.started_ms)


class TargetDirectory:
    """Entries by the name of the node that wrote them.

    Entries that can't be read name no target; the others hold. Of two nodes
    at one address the one that was listed later has taken it over: the other
    was lost and can't remove its entry.
    """

    def __init__(self) -> None:
        self._by_node: dict[str, _Record] = {}
        self._at_address: dict[Address, dict[str, _Record]] = {}
        self._holders: dict[str, dict[Address, TargetEntry]] = {}
        self._addresses: dict[InstanceId, Address] = {}
        self._first_seen_s: dict[InstanceId, float] = {}
        self._mentions: collections.Counter[InstanceId] = collections.Counter()
        self.is_loaded = False

    def __len__(self) -> int:
        """Return how many nodes are listed."""
        return len(self._by_node)

    def entries(self) -> dict[str, TargetEntry]:
        """Return the entries by node."""
        return {node: record.entry for node, record in self._by_node.items()}

    def entry_of(self, node: str) -> TargetEntry | None:
        """Return the entry of one node."""
        record = self._by_node.get(node)
        return record.entry if record else None

    def entry_at(self, address: Address) -> TargetEntry | None:
        """Return the entry that holds a node's address."""
        there = self._at_address.get(address)
        if not there:
            return None
        return max(there.values(), key=lambda record: record.claim).entry

    def address_of(self, instance: InstanceId) -> Address | None:
        """Return the node beside a target."""
        return self._addresses.get(instance)

    def addresses(self) -> frozenset[Address]:
        """Return the addresses of all nodes."""
        return frozenset(self._at_address)

    def apply_changes(self, documents: Iterable[Document]) -> set[str]:
        """Take changed entries; return the services that changed."""
        touched: set[str] = set()
        for document in documents:
            touched |= self._take_one(document)
        return touched

    def candidates(
        self, service: str, connection_limit: int, now_s: float
    ) -> tuple[Candidate, ...]:
        """Return the instances of a service; of two by one name the newer."""
        newest = {
            instance_id(entry): entry
            for entry in self._holders.get(service, {}).values()
        }
        return tuple(
            Candidate(
                instance=instance,
                place=entry.place,
                state=_STATES[entry.state],
                connection_limit=connection_limit,
                slots=entry.slots,
                started_s=self._first_seen_s.setdefault(instance, now_s),
            )
            for instance, entry in newest.items()
        )

    def _take_one(self, document: Document) -> set[str]:
        node = name_in_key(document.key)
        before = self._by_node.pop(node, None)
        after = _decoded(document)
        addresses = {record.entry.node for record in (before, after) if record}
        held = {address: self.entry_at(address) for address in addresses}
        if before is not None:
            self._forget(node, before)
        if after is not None:
            self._remember(node, after)
        if before is not None:
            self._drop_instance(instance_id(before.entry))
        touched: set[str] = set()
        for address, holder in held.items():
            touched |= self._settle(address, holder)
        return touched

    def _remember(self, node: str, record: _Record) -> None:
        entry = record.entry
        self._by_node[node] = record
        self._at_address.setdefault(entry.node, {})[node] = record
        self._addresses[instance_id(entry)] = entry.node
        self._mentions[instance_id(entry)] += 1

    def _forget(self, node: str, record: _Record) -> None:
        self._mentions[instance_id(record.entry)] -= 1
        there = self._at_address[record.entry.node]
        there.pop(node)
        if not there:
            self._at_address.pop(record.entry.node)

    def _drop_instance(self, instance: InstanceId) -> None:
        """Forget an instance that no entry names any more."""
        if self._mentions[instance]:
            return
        self._mentions.pop(instance)
        self._addresses.pop(instance, None)
        self._first_seen_s.pop(instance, None)

    def _settle(self, address: Address, before: TargetEntry | None) -> set[str]:
        """Take note of who holds an address now; return touched services."""
        after = self.entry_at(address)
        if before is not None:
            self._holders[before.service].pop(address, None)
        if after is not None:
            self._holders.setdefault(after.service, {})[address] = after
        return {entry.service for entry in (before, after) if entry}


def instance_id(entry: TargetEntry) -> InstanceId:
    """Return the identity of one start of a target."""
    return InstanceId(name=entry.instance, incarnation=entry.started_ms)


def name_in_key(key: str) -> str:
    """Return the node that an entry's key names."""
    return key.rpartition('/')[2]


def decode_entry(text: str) -> TargetEntry | None:
    """Return the entry that the store has, ``None`` if it can't be read."""
    try:
        return msgspec.json.decode(text, type=TargetEntry)
    except (msgspec.DecodeError, UnicodeError):
        return None


def _decoded(document: Document) -> _Record | None:
    entry = decode_entry(document.content) if document.content else None
    if entry is None:
        return None
    return _Record(entry=entry, created_revision=document.created)
