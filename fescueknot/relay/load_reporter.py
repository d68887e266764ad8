"""Load and admission level of the target on this host, in replies."""

from collections.abc import Callable

import msgspec

from fescueknot.admission.rank import OPEN_RANK, rank_of_level
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import Call, Reply
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.slot_queue import SlotQueue
from fescueknot.relay.target_speed import TargetSpeed
from fescueknot.running_loop import running_loop

_MS_PER_S = 1000


class LoadReporter:
    """Tells callers' nodes how full the target and those below it are.

    ``version`` returns the version of the routes in force at this node.
    """

    def __init__(
        self,
        *,
        version: Callable[[], int],
        runs: LocalRuns,
        levels: LevelsByRoute,
    ) -> None:
        self._version = version
        self._runs = runs
        self._levels = levels

    def add_load(
        self, reply: Reply, call: Call, queue: SlotQueue, speed: TargetSpeed
    ) -> Reply:
        """Add the load and the admission level of the route to a reply.

        If the target claims a speed, the times are those that hold now.
        """
        now_s = running_loop().time()
        pressure = queue.pressure()
        downstream_rank = self._levels.lowest_rank(
            self._runs.downstream_routes(call.head.route), now_s
        )
        # Callers' nodes refuse root requests early by the levels in replies.
        # The level of this target is left out for root requests: whether it
        # admits them is decided here.
        local_rank = (
            rank_of_level(pressure) if call.head.lineage.depth else OPEN_RANK
        )
        correction = speed.correction(call, now_s)
        work_ms = 0
        if correction is not None:
            work_ms = round(queue.typical_s() * correction * _MS_PER_S, 1)
        slot_time_s = queue.slot_time_s() * (correction or 1)
        head = msgspec.structs.replace(
            reply.head,
            limit=pressure.limit,
            in_flight=pressure.in_flight,
            waiting=pressure.waiting,
            service_ms=int(slot_time_s * _MS_PER_S),
            work_ms=work_ms,
            level_rank=min(local_rank, downstream_rank),
            version=self._version(),
        )
        return Reply(head=head, response=reply.response)
