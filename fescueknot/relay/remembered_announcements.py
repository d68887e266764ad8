"""What targets have announced to this node as the node of a caller."""

import collections

from fescueknot.identity import InstanceId
from fescueknot.relay.messages import AnswerHead, Ending, RefusedFor

_MAX_TARGETS = 4096
_ENDINGS_OF_TARGETS = frozenset((Ending.ANSWERED, Ending.TURNED_AWAY))


class RememberedAnnouncements:
    """Announced rate limits by instance; the oldest are forgotten.

    The node beside a target may start anew and then knows no limit. Callers'
    nodes tell it the one that they remember.
    """

    def __init__(self) -> None:
        self._limits: collections.OrderedDict[InstanceId, float] = (
            collections.OrderedDict()
        )

    def record(self, instance: InstanceId, head: AnswerHead) -> None:
        """Record the reply to a call; only an answer ends a limit."""
        if head.rate_limit_per_s is not None:
            self._limits[instance] = head.rate_limit_per_s
            self._limits.move_to_end(instance)
            if len(self._limits) > _MAX_TARGETS:
                self._limits.popitem(last=False)
        elif _is_of_target(head):
            self._limits.pop(instance, None)

    def rate_limit_per_s(self, instance: InstanceId) -> float | None:
        """Return the limit of an instance, ``None`` without one."""
        return self._limits.get(instance)


def _is_of_target(head: AnswerHead) -> bool:
    is_misdirected = head.refused_for is RefusedFor.OTHER_TARGET
    return head.ending in _ENDINGS_OF_TARGETS and not is_misdirected
