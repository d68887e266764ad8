"""Faults of the object API's stand-in, set over its control endpoint."""

import json

from tools.standin.connections import KeptConnections, Order

_TIMEOUT_S = 2.0


class StoreControl:
    """Turns the outage of one stand-in on and off."""

    def __init__(self, *, port: int) -> None:
        self._address = f'127.0.0.1:{port}'
        self._connections = KeptConnections()

    def set_outage(self, *, down: bool) -> None:
        """Make every call fail, or none."""
        order = Order(
            address=self._address,
            method='POST',
            path='/control/faults',
            headers={'Content-Type': 'application/json'},
            timeout_s=_TIMEOUT_S,
            body=json.dumps({'down': down}).encode(),
        )
        self._connections.send(order)
