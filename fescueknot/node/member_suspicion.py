"""Which members of a roster seem to be gone.

A wrong suspicion costs a suspension, which the member ends itself; it never
makes a key run twice.
"""

from fescueknot.identity import InstanceId
from fescueknot.membership.announcements import Announcement
from fescueknot.roster import Roster

# A node that has just started does not know all instances yet.
_LEARNING_S = 10.0
_ABSENT_S = 3.0
_SILENT_S = 4.0


class KeySuspicion:
    """Remembers since when members are not among the announced instances."""

    def __init__(self, *, started_s: float) -> None:
        self._trusted_from_s = started_s + _LEARNING_S
        self._absent_since_s: dict[InstanceId, float] = {}
        self._silent_since_s: dict[InstanceId, float] = {}

    def watched(
        self,
        roster: Roster,
        own: InstanceId,
    ) -> InstanceId | None:
        """Return the member that this one asks for a sign of life.

        Each member watches the next one in the order of names, so that every
        member is watched by one other at a bounded cost.
        """
        names = sorted(member.instance for member in roster.members)
        if own not in names or len(names) == 1:
            return None
        return names[(names.index(own) + 1) % len(names)]

    def note(
        self,
        instance: InstanceId,
        *,
        reachable: bool,
        now_s: float,
    ) -> None:
        """Note whether the watched member gave a sign of life."""
        if reachable:
            self._silent_since_s.pop(instance, None)
        else:
            self._silent_since_s.setdefault(instance, now_s)

    def suspects(
        self,
        roster: Roster,
        announced: tuple[Announcement, ...],
        *,
        now_s: float,
    ) -> tuple[InstanceId, ...]:
        """Return the members that were replaced, suspected or are absent.

        A name that is announced without its instance working was replaced by
        a later start, or is suspected by the membership. When most members
        are merely absent, it is this node that has lost sight of them.
        """
        present = {known.instance for known in announced if known.is_working}
        known_names = {known.name for known in announced}
        members = tuple(member.instance for member in roster.members)
        absent = [one for one in members if one not in present]
        self._absent_since_s = {
            instance: self._absent_since_s.get(instance, now_s)
            for instance in absent
        }
        gone = {
            instance
            for instance in absent
            if instance.name in known_names
            or self._is_long_absent(instance, now_s)
        }
        if len(gone) * 2 > len(members):
            gone = {one for one in gone if one.name in known_names}
        silent = self._silent(members, now_s)
        return tuple(one for one in members if one in gone | silent)

    def _silent(
        self,
        members: tuple[InstanceId, ...],
        now_s: float,
    ) -> set[InstanceId]:
        """Return the watched members that have been silent for long."""
        self._silent_since_s = {
            instance: since_s
            for instance, since_s in self._silent_since_s.items()
            if instance in members
        }
        return {
            instance
            for instance, since_s in self._silent_since_s.items()
            if now_s - since_s >= _SILENT_S
        }

    def _is_long_absent(self, instance: InstanceId, now_s: float) -> bool:
        absent_s = now_s - self._absent_since_s[instance]
        return now_s >= self._trusted_from_s and absent_s >= _ABSENT_S
