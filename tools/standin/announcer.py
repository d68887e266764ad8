"""Tells the node beside a target that the target is there."""

import threading

import msgspec

from tools.standin.connections import KeptConnections, Order
from tools.standin.errors import StandInError

_INTERVAL_S = 2.0
_TIMEOUT_S = 1.0


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says about itself."""

    state: str
    slots: int


class Announcer:
    """Posts announcements to the operators' port of a node."""

    def __init__(self, *, address: str, slots: int) -> None:
        self._address = address
        self._slots = slots
        self._connections = KeptConnections()
        self._ended = threading.Event()

    def start(self) -> None:
        """Announce in the background until :meth:`drain`."""
        threading.Thread(target=self._run, daemon=True).start()

    def drain(self) -> None:
        """Announce that no new work is wanted."""
        self._ended.set()
        self._post('draining')

    def _run(self) -> None:
        while True:
            heard = self._post('serving')
            pause_s = _INTERVAL_S if heard else _INTERVAL_S / 10
            if self._ended.wait(pause_s):
                return

    def _post(self, state: str) -> bool:
        announcement = Announcement(state=state, slots=self._slots)
        order = Order(
            address=self._address,
            method='POST',
            path='/announce',
            headers={'Content-Type': 'application/json'},
            timeout_s=_TIMEOUT_S,
            body=msgspec.json.encode(announcement),
        )
        try:
            self._connections.send(order)
        except StandInError:
            return False
        return True
