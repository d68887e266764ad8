"""Direct notification of chosen nodes about the local announcement."""

from fescueknot.identity import Address
from fescueknot.membership.messages import Notification, Outgoing
from fescueknot.membership.view import LocalView

REPEAT_COUNT = 2


class Notifier:
    """Sends the local announcement now and again on the next ticks."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._addresses: tuple[Address, ...] = ()
        self._repeats_left = 0

    def send(self, addresses: tuple[Address, ...]) -> tuple[Outgoing, ...]:
        """Return the first notifications to ``addresses``."""
        self._addresses = addresses
        self._repeats_left = REPEAT_COUNT
        return self._build()

    def tick(self) -> tuple[Outgoing, ...]:
        """Return the notifications to repeat now."""
        if not self._repeats_left:
            return ()
        self._repeats_left -= 1
        return self._build()

    def _build(self) -> tuple[Outgoing, ...]:
        own = self._view.own
        notification = Notification(
            name=own.name, incarnation=own.incarnation, news=(own,)
        )
        return tuple(
            Outgoing(target=address, message=notification)
            for address in self._addresses
        )
