"""A request to send."""

import msgspec

from fescueknot.platform.headers import PLATFORM_HEADERS
from tools.site_rig.manners import USUAL, Manner
from tools.site_rig.scene import ROUTE_HOST

_MS_PER_S = 1000
# A caller hears of a deadline a little after the node.
_PATIENCE_S = 0.1


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A request to send; ``limit_ms`` is the time limit of its route.

    A caller leaves after ``patience_s`` if that is less than its deadline.
    """

    attempt: str
    method: str
    path: str
    deadline_ms: int
    limit_ms: float
    body: bytes = b''
    is_pipelined: bool = False
    is_on_new_connection: bool = False
    patience_s: float = float('inf')

    @property
    def wait_s(self) -> float:
        """Return how long the caller waits; the answer is on its way."""
        deadline_s = self.deadline_ms / _MS_PER_S + _PATIENCE_S
        return min(deadline_s, self.patience_s)

    @property
    def time_left_s(self) -> float:
        """Return the time until the deadline or the route's time limit."""
        return min(self.deadline_ms, self.limit_ms) / _MS_PER_S

    def fields(self) -> dict[str, str]:
        """Return the headers that say what it is."""
        return {
            PLATFORM_HEADERS.attempt: self.attempt,
            PLATFORM_HEADERS.remaining_ms: str(self.deadline_ms),
        }

    def head(self, manner: Manner = USUAL) -> bytes:
        """Return the bytes before the body."""
        fields = {
            'host': ROUTE_HOST,
            **self.fields(),
            'content-length': str(len(self.body)),
        }
        if manner.expects and self.body:
            fields['expect'] = '100-continue'
        lines = [f'{self.method} {self.path} HTTP/{manner.version}']
        lines.extend(f'{name}: {field}' for name, field in fields.items())
        return '\r\n'.join((*lines, '', '')).encode()
