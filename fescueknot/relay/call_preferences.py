"""Preferences between near and far targets, by the kind of call."""

import types

from fescueknot.relay.runs import Lineage
from fescueknot.routing.messages import Tier
from fescueknot.routing.preference import CostSettings, LeastCost

# Cost of the network path to a target of each tier, as seconds of waiting.
# Traffic between regions is slow and billed. A root request pays for it once;
# its target then makes many downstream calls, each of which may pay for it too.
_ROOT_PATH_COST_S = types.MappingProxyType(
    {
        Tier.LOCAL_HOST: 0,
        Tier.FAILURE_DOMAIN: 0.002,
        Tier.REGION: 0.012,
        Tier.ELSEWHERE: 0.2,
    }
)
_DOWNSTREAM_PATH_COST_S = types.MappingProxyType(
    {**_ROOT_PATH_COST_S, Tier.ELSEWHERE: 0.12}
)
_URGENT_PATH_COST_S = types.MappingProxyType(
    {**_ROOT_PATH_COST_S, Tier.ELSEWHERE: 0.05}
)
_SHED_COST_S = 0.3
# A downstream call with less time left can't afford to wait for a near target.
_URGENT_REMAINING_S = 0.5


class CallPreferences:
    """Preferences of root requests, downstream calls and urgent ones."""

    def __init__(self, *, avoids_limited: bool) -> None:
        self._root = LeastCost(
            settings=CostSettings(
                tier_cost_s=_ROOT_PATH_COST_S,
                shed_cost_s=_SHED_COST_S,
                avoids_limited=avoids_limited,
            )
        )
        self._downstream = LeastCost(
            settings=CostSettings(
                tier_cost_s=_DOWNSTREAM_PATH_COST_S,
                avoids_limited=avoids_limited,
            )
        )
        self._urgent = LeastCost(
            settings=CostSettings(
                tier_cost_s=_URGENT_PATH_COST_S, avoids_limited=avoids_limited
            )
        )

    def choose(self, lineage: Lineage, remaining_s: float) -> LeastCost:
        """Return the preference of a call that expires in ``remaining_s``."""
        if not lineage.depth:
            return self._root
        is_urgent = remaining_s < _URGENT_REMAINING_S
        return self._urgent if is_urgent else self._downstream


_FIRST_ATTEMPT = CallPreferences(avoids_limited=False)
# A call that was refused has spent its wait, so it goes where no rate limit
# can refuse it again.
_LATER_ATTEMPTS = CallPreferences(avoids_limited=True)


def preference_for(
    lineage: Lineage, remaining_s: float, *, is_first_attempt: bool
) -> LeastCost:
    """Return the preference for one attempt of a call."""
    preferences = _FIRST_ATTEMPT if is_first_attempt else _LATER_ATTEMPTS
    return preferences.choose(lineage, remaining_s)
