"""The settings of one node.

Each field's description is the text of the settings reference and of the JSON
Schema, so it says what the field does and in which unit.
"""

from typing import Annotated

import msgspec

from fescueknot.identity import Address, Place
from fescueknot.settings.sections import (
    Addresses,
    Limits,
    LogSettings,
    Name,
    Threads,
    Timing,
)


class NodeSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All settings of one node."""

    instance: Annotated[
        Name,
        msgspec.Meta(
            description='Name of this host and service; stable over restarts.'
        ),
    ]
    service: Annotated[
        Name,
        msgspec.Meta(description='Service that the target belongs to.'),
    ]
    place: Annotated[
        Place,
        msgspec.Meta(description='Region and failure domain of this host.'),
    ]
    addresses: Annotated[
        Addresses,
        msgspec.Meta(description='Where this node listens.'),
    ]
    target: Annotated[
        Address,
        msgspec.Meta(description='Where the target beside this node listens.'),
    ]
    platform: Annotated[
        tuple[Address, ...],
        msgspec.Meta(
            min_length=1,
            description="Addresses of the platform's object API, in order.",
        ),
    ]
    shared_key: Annotated[
        str,
        msgspec.Meta(
            min_length=16,
            description=(
                'Secret that authenticates traffic between nodes; the same on '
                'all nodes. Never logged.'
            ),
        ),
    ]
    seeds: Annotated[
        tuple[Address, ...],
        msgspec.Meta(
            description=(
                'Gossip addresses of some other nodes, asked first after a '
                'start. May be empty: the object API then names them.'
            ),
        ),
    ] = ()
    target_slots: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=10_000,
            description=(
                'Requests that the target works on at the same time, as a '
                'first guess; the limit in force is measured.'
            ),
        ),
    ] = 8
    threads: Annotated[
        Threads, msgspec.Meta(description='Sizes of the thread pools.')
    ] = Threads()
    timing: Annotated[
        Timing, msgspec.Meta(description='Leases, time limits and retention.')
    ] = Timing()
    limits: Annotated[
        Limits, msgspec.Meta(description='Bounds on single requests.')
    ] = Limits()
    log: Annotated[
        LogSettings, msgspec.Meta(description='Form of the log.')
    ] = LogSettings()
