"""What a deployment of the demo consists of."""

import msgspec

from tools.standin.plan import Stream


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call that a service makes for each request below a path."""

    service: str
    path: str
    under: str = '/'


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service: its size in the field and the calls it makes.

    ``time_share`` is its service time relative to the others.
    """

    name: str
    slots: int
    connections: int
    time_share: float = 1
    calls: tuple[Call, ...] = ()


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """One customer of the layer.

    ``places`` are pairs of region and failure domain; ``lost`` names the
    service that loses a host; ``rules`` is a file below ``examples/``.
    """

    name: str
    rules: str
    places: tuple[tuple[str, str], ...]
    services: tuple[Service, ...]
    streams: tuple[Stream, ...]
    lost: str


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """How large the demo is played.

    ``slots_share`` scales the slots of the field, ``service_ms`` sets the
    service time so that one machine carries all processes, ``time_factor``
    stretches the timeline and the callers' patience, ``callers`` is the number
    of requests that may be outstanding, ``lease_s`` how long the owner of a
    key may run it after the last sign of the store.
    """

    instances: int
    slots_share: float
    service_ms: float
    time_factor: float
    callers: int
    lease_s: float = 8

    def slots(self, service: Service) -> int:
        """Return the slots of one target."""
        return max(2, round(service.slots * self.slots_share))

    def rate_factor(self) -> float:
        """Return the rate of one stream relative to its table entry."""
        per_slot = 1_000 / self.service_ms
        return self.instances * self.slots_share * per_slot


CUT = Sizes(
    instances=2,
    slots_share=0.115,
    service_ms=100,
    time_factor=1,
    callers=512,
)
FULL = Sizes(
    instances=6,
    slots_share=1,
    service_ms=1_500,
    time_factor=3,
    callers=2_000,
)
