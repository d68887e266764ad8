"""Which targets have left or are leaving, and the messages about them.

The object store may be away when a target leaves, and may come back from a
copy that is older than the leaving. So nodes tell each other too.
"""

import collections
import itertools

import msgspec

from fescueknot.decoding import Count, Name

# A target that leaves serves for some seconds more, and a heartbeat that it
# sent before may be as late.
_RETENTION_S = 300.0
_MAX_DEPARTURES = 4096


class Departure(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """No start of an instance up to ``until_ms`` (Unix) takes new work."""

    instance: Name
    until_ms: Count


class DepartureMessage(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of the messages between nodes, each in one datagram."""


class DepartureNotice(DepartureMessage, frozen=True, kw_only=True, tag='dn'):
    """Departures that may be new to the receiver.

    A receipt with the same ``nonce`` is asked for, unless that is 0.
    """

    departures: tuple[Departure, ...]
    nonce: Count = 0


class DepartureReceipt(DepartureMessage, frozen=True, kw_only=True, tag='dr'):
    """The sender keeps the departures of a notice."""

    nonce: Count


class DepartureQuery(DepartureMessage, frozen=True, kw_only=True, tag='dq'):
    """Asks for the newest departures that the receiver knows."""


class DepartureReply(DepartureMessage, frozen=True, kw_only=True, tag='da'):
    """The newest departures that the sender knows."""

    departures: tuple[Departure, ...] = ()


AnyDepartureMessage = (
    DepartureNotice | DepartureReceipt | DepartureQuery | DepartureReply
)


class DepartureBook:
    """The departures that one node knows; bounded, forgotten after a time."""

    def __init__(self) -> None:
        self._until_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._learnt_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of instances."""
        return len(self._until_ms)

    def add(self, departure: Departure, now_s: float) -> bool:
        """Record a departure; return whether it tells anything new."""
        self._forget_before(now_s - _RETENTION_S)
        known_ms = self._until_ms.get(departure.instance, -1)
        if departure.until_ms <= known_ms:
            return False
        self._until_ms[departure.instance] = departure.until_ms
        self._until_ms.move_to_end(departure.instance)
        self._learnt_s[departure.instance] = now_s
        if len(self._until_ms) > _MAX_DEPARTURES:
            self._forget_oldest()
        return True

    def has_left(self, instance: str, started_ms: int) -> bool:
        """Return whether a start of an instance takes no new work."""
        return started_ms <= self._until_ms.get(instance, -1)

    def newest(self, count: int) -> tuple[Departure, ...]:
        """Return the departures that were learnt last, newest first."""
        newest_first = reversed(self._until_ms.items())
        return tuple(
            Departure(instance=instance, until_ms=until_ms)
            for instance, until_ms in itertools.islice(newest_first, count)
        )

    def _forget_before(self, time_s: float) -> None:
        while self._until_ms:
            oldest = next(iter(self._until_ms))
            if self._learnt_s[oldest] >= time_s:
                return
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        instance, _ = self._until_ms.popitem(last=False)
        self._learnt_s.pop(instance)
