"""Which requests a caller's node takes while it stops."""

import enum
import types

from fescueknot.relay.runs import Lineage
from fescueknot.routes.messages import Route


class Intake(enum.StrEnum):
    """Which requests are still sent on."""

    EVERYTHING = 'everything'
    REPEATABLE_CALLS = 'calls of the target that may be repeated'
    NOTHING = 'nothing'


_TAKES = types.MappingProxyType(
    {
        Intake.EVERYTHING: lambda lineage, route: True,
        Intake.REPEATABLE_CALLS: lambda lineage, route: (
            lineage.depth > 0 and route.idempotent
        ),
        Intake.NOTHING: lambda lineage, route: False,
    }
)


def takes(intake: Intake, lineage: Lineage, route: Route) -> bool:
    """Return whether a request is still sent on."""
    return _TAKES[intake](lineage, route)
