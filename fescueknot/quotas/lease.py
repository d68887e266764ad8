"""The lease of an owner: one object of the store per region and shard.

At most one node holds a lease at any time, provided that the clocks of hosts
run at about the same speed:

- A holder counts its lease from the moment it sent the write that the store
  has confirmed. A write without an answer extends nothing, though it may still
  be executed.
- Another node writes only after it has seen one revision for the length of a
  lease and a margin, and only if that revision is still the current one. By
  then the lease that belongs to the revision is over.
- A store that comes back from an older copy shows older revisions, or no object
  at all, while a holder may still hold its lease. Both are waited for as if
  the lease had just begun, even if the object names this node.
"""

import contextlib
import enum
import math

import msgspec

from fescueknot.decoding import DECODE_ERRORS, Count, Name
from fescueknot.objectapi.messages import StoredObject
from fescueknot.objectapi.revisions import era_of

LEASE_S = 8.0
_RENEWAL_S = 2.5
# The margin covers clocks that differ by 5 % over a lease (0.4 s), and a
# candidate that is suspended for 0.1 s between reading its clock and sending.
TAKEOVER_S = LEASE_S + 0.5
# Bounds the calls of a candidate whose writes the store keeps refusing, or
# that gets no answers.
_PAUSE_AFTER_FAILURE_S = 0.5
# While nodes look for the owner, a candidate reads the object this often.
_REREAD_S = 1.0
# A node that finds no owner asks each candidate about every 2.5 s.
_PROMPT_S = 5.0


class LeaseValue(msgspec.Struct, frozen=True, kw_only=True):
    """The stored value.

    ``era`` is the store's era at the write: in a copy that has come back, it
    differs from that of the store. ``start`` and ``write`` make each value
    another one, as a write of the same value need not get a new revision.
    """

    node: Name
    start: Count
    write: Count
    era: Count


class LeaseRole(enum.Enum):
    """When a node may acquire the lease."""

    NONE = 'never'
    CANDIDATE = 'when asked'
    FIRST = 'unprompted'


class Read(msgspec.Struct, frozen=True):
    """Read the object now."""


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """Write the value now, if the object still has ``revision``.

    ``None`` creates the object.
    """

    value: LeaseValue
    revision: int | None


class Pause(msgspec.Struct, frozen=True, kw_only=True):
    """Do nothing before ``until_s`` or the next prompt."""

    until_s: float


LeaseStep = Read | Write | Pause


class _Seen(msgspec.Struct, frozen=True, kw_only=True):
    """What was read first ``since_s``; revision ``None``: no object.

    ``era`` is the store's when it was read. ``is_of_era`` is false for an
    object that was written in another one.
    """

    revision: int | None
    since_s: float
    era: int
    holder: str = ''
    is_of_era: bool = True


class Lease:
    """Decides what to read and write, and tells whether the lease is held.

    Times are those of a clock that runs on while the host is suspended.
    """

    def __init__(self, *, node: str, start: int) -> None:
        self._node = node
        self._start = start
        self._role = LeaseRole.NONE
        self._writes = 0
        self._sent_s = float(0)
        self._sent_era = 0
        self._held_until_s = -math.inf
        self._renewal_s = -math.inf
        self._seen: _Seen | None = None
        # Whether a write may be conditional on what was seen.
        self._is_current = False
        self._has_seen_renewal = False
        self._read_s = -math.inf
        self._prompted_s = -math.inf
        self._resume_s = -math.inf

    @property
    def holder(self) -> str:
        """Return the node that was last seen to hold the lease, or ''."""
        return self._seen.holder if self._seen else ''

    def is_held(self, now_s: float) -> bool:
        """Return whether this node is the owner."""
        return now_s < self._held_until_s

    def set_role(self, role: LeaseRole) -> None:
        """Set when this node may acquire the lease; it keeps a held one."""
        if role is not self._role:
            self._role = role
            self._has_seen_renewal = False

    def prompt(self, now_s: float) -> None:
        """Record that a node looks for the owner."""
        self._prompted_s = now_s

    def next_step(self, now_s: float, era: int) -> LeaseStep:
        """Return what to do now; ``era`` is the store's as far as known."""
        if now_s < self._resume_s:
            return Pause(until_s=self._resume_s)
        is_held = self.is_held(now_s)
        if is_held and now_s < self._renewal_s:
            return Pause(until_s=self._renewal_s)
        if not is_held and not self._is_wanted(now_s):
            return Pause(until_s=math.inf)
        seen = self._seen
        if seen is None or not self._is_current or seen.era != era:
            return Read()
        if is_held or self._may_acquire(seen, now_s):
            return self._write(seen)
        return self._wait(seen, now_s)

    def write_sent(self, write: Write, now_s: float) -> None:
        """Record that a write is about to be sent."""
        self._sent_s = now_s
        self._sent_era = write.value.era

    def write_confirmed(self, stored: StoredObject) -> None:
        """Record that the store has done the last write that was sent."""
        if era_of(stored.revision) != self._sent_era:
            # In that era others may hold the lease, or wait for it.
            self._is_current = False
            return
        self._held_until_s = self._sent_s + LEASE_S
        self._renewal_s = self._sent_s + _RENEWAL_S
        self._has_seen_renewal = False
        self._is_current = True
        self._seen = _Seen(
            revision=stored.revision,
            since_s=self._sent_s,
            era=self._sent_era,
            holder=self._node,
        )

    def write_refused(self, now_s: float) -> None:
        """Record that the object was not as expected."""
        self.failed(now_s)

    def failed(self, now_s: float) -> None:
        """Record a call without an answer; a write may still be executed."""
        self._is_current = False
        self._resume_s = now_s + _PAUSE_AFTER_FAILURE_S

    def read(self, stored: StoredObject | None, now_s: float, era: int) -> None:
        """Record the object that a read has returned at ``now_s``."""
        before = self._seen
        seen = _seen(stored, now_s, era)
        if before is not None and _is_same(before, seen):
            seen = msgspec.structs.replace(seen, since_s=before.since_s)
        elif before is not None and seen.holder not in {'', self._node}:
            self._has_seen_renewal = True
        self._seen = seen
        self._is_current = True
        self._read_s = now_s
        if seen.is_of_era and seen.holder not in {'', self._node}:
            self._held_until_s = -math.inf

    def _is_wanted(self, now_s: float) -> bool:
        """Return whether this node should try to acquire the lease."""
        if self._role is LeaseRole.NONE:
            return False
        if self._role is LeaseRole.FIRST and not self._has_seen_renewal:
            return True
        return now_s - self._prompted_s < _PROMPT_S

    def _may_acquire(self, seen: _Seen, now_s: float) -> bool:
        """Return whether no other node can hold the lease.

        The earlier process of this host is gone.
        """
        is_own = seen.is_of_era and seen.holder == self._node
        return is_own or now_s >= seen.since_s + TAKEOVER_S

    def _write(self, seen: _Seen) -> Write:
        self._writes += 1
        value = LeaseValue(
            node=self._node,
            start=self._start,
            write=self._writes,
            era=seen.era,
        )
        return Write(value=value, revision=seen.revision)

    def _wait(self, seen: _Seen, now_s: float) -> LeaseStep:
        """Wait for the lease to expire; read again while nodes ask."""
        until_s = seen.since_s + TAKEOVER_S
        if now_s - self._prompted_s < _PROMPT_S:
            reread_s = self._read_s + _REREAD_S
            if now_s >= reread_s:
                return Read()
            until_s = min(until_s, reread_s)
        return Pause(until_s=until_s)


def _seen(stored: StoredObject | None, now_s: float, era: int) -> _Seen:
    if stored is None:
        return _Seen(revision=None, since_s=now_s, era=era)
    holder = ''
    is_of_era = False
    with contextlib.suppress(*DECODE_ERRORS):
        lease_value = msgspec.json.decode(stored.value, type=LeaseValue)
        holder = lease_value.node
        is_of_era = lease_value.era == era == era_of(stored.revision)
    return _Seen(
        revision=stored.revision,
        since_s=now_s,
        era=era,
        holder=holder,
        is_of_era=is_of_era,
    )


def _is_same(before: _Seen, seen: _Seen) -> bool:
    return before.revision == seen.revision and before.era == seen.era
