"""When what happens in a leg of the demo."""

import msgspec

from tools.standin.plan import Plan


class Timeline(msgspec.Struct, frozen=True, kw_only=True):
    """Times in seconds since the callers' start."""

    surge_start_s: float = 3
    surge_end_s: float = 8
    outage_start_s: float = 13
    host_loss_s: float = 14
    outage_end_s: float = 15.5
    end_s: float = 17

    def stretched(self, factor: float) -> 'Timeline':
        """Return the same timeline, ``factor`` times as long."""
        return Timeline(
            **{
                name: getattr(self, name) * factor
                for name in self.__struct_fields__
            }
        )

    def phase(self, at_s: float) -> str:
        """Return what is going on at ``at_s``."""
        marks = (
            (self.surge_start_s, 'normal'),
            (self.surge_end_s, 'surge, hard retries'),
            (self.outage_start_s, 'recovery'),
            (self.host_loss_s, 'store outage'),
            (self.outage_end_s, 'store outage, host lost'),
        )
        for end_s, name in marks:
            if at_s < end_s:
                return name
        return 'host lost'

    def shape(self) -> Plan:
        """Return a plan for callers that has the times only."""
        return Plan(
            streams=(),
            routes={},
            duration_s=self.end_s,
            surge_start_s=self.surge_start_s,
            surge_end_s=self.surge_end_s,
        )
