"""All targets of the fleet, as their nodes wrote them into the store."""

import types

import msgspec

from fescueknot.identity import Address, InstanceId
from fescueknot.objectapi.messages import Change, Listing
from fescueknot.routing.messages import Candidate, CandidateState
from fescueknot.targets.messages import TargetEntry, TargetState

_STATES = types.MappingProxyType(
    {
        TargetState.SERVING: CandidateState.SERVING,
        TargetState.DRAINING: CandidateState.DRAINING,
    }
)


class Directory:
    """Entries by the name of the node that wrote them.

    Entries that can't be read name no target; the others hold. Of two nodes
    at one address the one with the newer target has taken it over: the other
    was lost and can't remove its entry.
    """

    def __init__(self) -> None:
        self._by_node: dict[str, TargetEntry] = {}
        self._by_address: dict[Address, TargetEntry] = {}
        self._first_seen_s: dict[InstanceId, float] = {}
        self.revision = 0
        self.is_known = False

    @property
    def entries(self) -> dict[str, TargetEntry]:
        """Return the entries by node."""
        return self._by_node

    def replace(self, listing: Listing) -> set[str]:
        """Take a whole listing; return the services that changed."""
        found = {}
        for stored in listing.objects:
            entry = _decoded(stored.value)
            if entry is not None:
                found[node_of(stored.key)] = entry
        changed = {
            entry.service
            for entry in (*found.values(), *self._by_node.values())
        }
        self._by_node = found
        self._by_address = self._holders()
        self.revision = listing.revision
        self.is_known = True
        return changed

    def apply(self, changes: tuple[Change, ...], revision: int) -> set[str]:
        """Take changes in order; return the services that changed."""
        touched: set[str] = set()
        for change in changes:
            touched |= self._apply_one(change)
        self._by_address = self._holders()
        self.revision = max(self.revision, revision)
        return touched

    def candidates(
        self, service: str, connection_limit: int, now_s: float
    ) -> tuple[Candidate, ...]:
        """Return the instances of a service; of two by one name the newer."""
        newest: dict[InstanceId, TargetEntry] = {}
        for listed in self._by_address.values():
            if listed.service == service:
                newest[instance_id(listed)] = listed
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

    def _apply_one(self, change: Change) -> set[str]:
        node = node_of(change.key)
        before = self._by_node.pop(node, None)
        after = None if change.deleted else _decoded(change.value)
        if after is not None:
            self._by_node[node] = after
        addresses = {entry.node for entry in (before, after) if entry}
        return {
            entry.service
            for entry in (*self._by_node.values(), before)
            if entry and entry.node in addresses
        }

    def _holders(self) -> dict[Address, TargetEntry]:
        """Return the entry that holds each node address."""
        holders: dict[Address, TargetEntry] = {}
        for entry in self._by_node.values():
            holder = holders.setdefault(entry.node, entry)
            if entry.started_ms > holder.started_ms:
                holders[entry.node] = entry
        return holders


def instance_id(entry: TargetEntry) -> InstanceId:
    """Return the identity of one start of a target."""
    return InstanceId(name=entry.instance, incarnation=entry.started_ms)


def node_of(key: str) -> str:
    """Return the node that an entry's key names."""
    return key.rpartition('/')[2]


def _decoded(text: str) -> TargetEntry | None:
    try:
        return msgspec.json.decode(text, type=TargetEntry)
    except (msgspec.DecodeError, UnicodeError):
        return None
