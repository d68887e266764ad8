"""Notices: own announcements sent straight to those whom they concern."""

from fescueknot.identity import Address
from fescueknot.membership.messages import News, Outgoing
from fescueknot.membership.view import LocalView

REPEATS = 2


class Notices:
    """Sends the own announcement at once and on the next few ticks."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._addresses: tuple[Address, ...] = ()
        self._left = 0

    def send(self, addresses: tuple[Address, ...]) -> tuple[Outgoing, ...]:
        """Return the first notices to ``addresses``."""
        self._addresses = addresses
        self._left = REPEATS
        return self._build()

    def tick(self) -> tuple[Outgoing, ...]:
        """Return the notices to repeat now."""
        if not self._left:
            return ()
        self._left -= 1
        return self._build()

    def _build(self) -> tuple[Outgoing, ...]:
        own = self._view.own
        news = News(name=own.name, incarnation=own.incarnation, news=(own,))
        return tuple(
            Outgoing(target=address, message=news)
            for address in self._addresses
        )
