"""Assembles a node's parts that deal with the target on its host."""

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.fleet_parts import FleetParts
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.load_reporter import LoadReporter
from fescueknot.relay.observer import Observer
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.settings import RelaySettings, parse_address
from fescueknot.targets.local_target import LocalTarget


class GateParts:
    """The gatekeeper, what it knows of runs, and the way to the target."""

    def __init__(
        self,
        *,
        settings: RelaySettings,
        header_names: HeaderNames,
        target: LocalTarget,
        buffers: BufferBudget,
        fleet: FleetParts,
        observer: Observer,
    ) -> None:
        self.dispatcher = HttpDispatcher(
            address=parse_address(settings.target),
            header_names=header_names,
            buffers=buffers,
        )
        self.runs = LocalRuns()
        self.levels = LevelsByRoute()
        self.gatekeeper = Gatekeeper(
            target=target,
            dispatcher=self.dispatcher,
            observer=observer,
            runs=self.runs,
            suspects=fleet.suspects.requests,
            load_reporter=LoadReporter(
                version=lambda: fleet.routes.version,
                runs=self.runs,
                levels=self.levels,
            ),
            on_target_leaving=fleet.registrar.publish,
        )
