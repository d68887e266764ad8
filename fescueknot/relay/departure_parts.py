"""Assembles a node's parts that deal with targets that leave."""

import random
from collections.abc import Callable

from fescueknot.relay.departure_exchange import DepartureExchange
from fescueknot.relay.observer import Observer
from fescueknot.relay.part_settings import gossip_address
from fescueknot.relay.random_peers import RandomPeers
from fescueknot.relay.settings import RelaySettings
from fescueknot.targets.departures import Departure, DepartureBook
from fescueknot.targets.directory import TargetDirectory


class DepartureParts:
    """The departures that a node knows and the exchange with other nodes.

    ``on_departures`` is called with those that are new to this node.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        directory: TargetDirectory,
        observer: Observer,
        rng: random.Random,
        on_departures: Callable[[tuple[Departure, ...]], None],
    ) -> None:
        self.book = DepartureBook()
        self.exchange = DepartureExchange(
            book=self.book,
            peers=RandomPeers(
                service=settings.service,
                local_address=gossip_address(settings),
                directory=directory,
                rng=rng,
            ),
            observer=observer,
            rng=rng,
            on_departures=on_departures,
        )
