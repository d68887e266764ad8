"""What targets have announced to this node as the node of a caller."""

import collections
from typing import Generic, TypeVar

from fescueknot.identity import InstanceId
from fescueknot.relay.messages import AnswerHead, Ending, RefusedFor

_MAX_TARGETS = 4096
_ENDINGS_OF_TARGETS = frozenset((Ending.ANSWERED, Ending.TURNED_AWAY))
_Value = TypeVar('_Value')


class _RecentTargets(Generic[_Value]):
    """Values by instance; beyond the bound the oldest is dropped."""

    def __init__(self) -> None:
        self._by_instance: collections.OrderedDict[InstanceId, _Value] = (
            collections.OrderedDict()
        )

    def put(self, instance: InstanceId, value: _Value) -> None:
        """Set the value of an instance."""
        self._by_instance[instance] = value
        self._by_instance.move_to_end(instance)
        if len(self._by_instance) > _MAX_TARGETS:
            self._by_instance.popitem(last=False)

    def get(self, instance: InstanceId) -> _Value | None:
        """Return the value of an instance, ``None`` without one."""
        return self._by_instance.get(instance)

    def discard(self, instance: InstanceId) -> None:
        """Drop the value of an instance."""
        self._by_instance.pop(instance, None)


class RememberedAnnouncements:
    """Announced rate limits, and the instances that leave.

    The node beside a target may start anew and then knows neither. Callers'
    nodes tell it the limit that they remember, and call no instance again that
    leaves, whatever a later entry of the directory says.
    """

    def __init__(self) -> None:
        self._limits: _RecentTargets[float] = _RecentTargets()
        self._leaving: _RecentTargets[bool] = _RecentTargets()

    def record(self, instance: InstanceId, head: AnswerHead) -> bool:
        """Record the reply to a call; only an answer ends a limit.

        Returns whether the instance has begun to leave, to announce a limit or
        to announce none.
        """
        before = (self.is_leaving(instance), self.is_limited(instance))
        if head.rate_limit_per_s is not None:
            self._limits.put(instance, head.rate_limit_per_s)
        elif _is_of_target(head):
            self._limits.discard(instance)
        if head.is_leaving:
            self._leaving.put(instance, head.is_leaving)
        return before != (self.is_leaving(instance), self.is_limited(instance))

    def rate_limit_per_s(self, instance: InstanceId) -> float | None:
        """Return the limit of an instance, ``None`` without one."""
        return self._limits.get(instance)

    def is_limited(self, instance: InstanceId) -> bool:
        """Return whether an instance announces a limit."""
        return self._limits.get(instance) is not None

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance has announced that it leaves."""
        return self._leaving.get(instance) is not None


def _is_of_target(head: AnswerHead) -> bool:
    is_misdirected = head.refused_for is RefusedFor.OTHER_TARGET
    return head.ending in _ENDINGS_OF_TARGETS and not is_misdirected
