"""Decides which members of a roster are suspected to have failed.

A wrong suspicion costs a suspension, which the suspected member ends itself;
it never makes a key run twice.
"""

from fescueknot.identity import InstanceId
from fescueknot.membership.announcements import Announcement
from fescueknot.roster import Roster

# A node that has just started does not know all instances yet, so absence
# does not count in this time.
_STARTUP_GRACE_S = 10.0
_MAX_ABSENCE_S = 3.0
_MAX_UNRESPONSIVE_S = 4.0


class MemberSuspicion:
    """Records since when members are absent or unresponsive."""

    def __init__(self, *, started_s: float) -> None:
        self._absence_valid_from_s = started_s + _STARTUP_GRACE_S
        self._absent_since_s: dict[InstanceId, float] = {}
        self._unresponsive_since_s: dict[InstanceId, float] = {}

    def member_to_probe(
        self,
        roster: Roster,
        local: InstanceId,
    ) -> InstanceId | None:
        """Return the member that the local member probes.

        Each member probes the next one in the order of names, so that every
        member is probed by exactly one member, at a bounded cost.
        """
        names = sorted(member.instance for member in roster.members)
        if local not in names or len(names) == 1:
            return None
        return names[(names.index(local) + 1) % len(names)]

    def record(
        self,
        instance: InstanceId,
        *,
        reachable: bool,
        now_s: float,
    ) -> None:
        """Record whether the probed member answered."""
        if reachable:
            self._unresponsive_since_s.pop(instance, None)
        else:
            self._unresponsive_since_s.setdefault(instance, now_s)

    def suspects(
        self,
        roster: Roster,
        announced: tuple[Announcement, ...],
        *,
        now_s: float,
    ) -> tuple[InstanceId, ...]:
        """Return the members that are suspected to have failed.

        These are members that did not answer probes, and members that are
        not among the working instances. If an instance of the same name is
        announced, the member was replaced by a later start or is suspected by
        the membership. Otherwise it is absent, which counts after some time.
        When more than half of the members would be suspected, absence does
        not count: this node itself has probably lost contact with them.
        """
        working = {
            announcement.instance
            for announcement in announced
            if announcement.is_working
        }
        announced_names = {announcement.name for announcement in announced}
        members = tuple(member.instance for member in roster.members)
        absent = [instance for instance in members if instance not in working]
        self._absent_since_s = {
            instance: self._absent_since_s.get(instance, now_s)
            for instance in absent
        }
        suspected = {
            instance
            for instance in absent
            if instance.name in announced_names
            or self._is_long_absent(instance, now_s)
        }
        if len(suspected) * 2 > len(members):
            suspected = {
                instance
                for instance in suspected
                if instance.name in announced_names
            }
        unresponsive = self._unresponsive(members, now_s)
        return tuple(
            instance
            for instance in members
            if instance in suspected | unresponsive
        )

    def _unresponsive(
        self,
        members: tuple[InstanceId, ...],
        now_s: float,
    ) -> set[InstanceId]:
        """Return the probed members that have not answered for long."""
        self._unresponsive_since_s = {
            instance: since_s
            for instance, since_s in self._unresponsive_since_s.items()
            if instance in members
        }
        return {
            instance
            for instance, since_s in self._unresponsive_since_s.items()
            if now_s - since_s >= _MAX_UNRESPONSIVE_S
        }

    def _is_long_absent(self, instance: InstanceId, now_s: float) -> bool:
        absent_s = now_s - self._absent_since_s[instance]
        return (
            now_s >= self._absence_valid_from_s and absent_s >= _MAX_ABSENCE_S
        )
