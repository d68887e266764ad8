"""Builder of target selectors for tests of the relay."""

from fescueknot.relay.reachability import Reachability
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.targets.departures import DepartureBook


def make_selector(
    *,
    name,
    place,
    directory,
    routes,
    rng,
    reachability,
    retry_budget=None,
):
    """Return the selector of a node that knows of no departures."""
    return TargetSelector(
        departures=DepartureBook(),
        directory=directory,
        routes=routes,
        viewpoint=viewpoint_of(name=name, place=place),
        retry_budget=retry_budget or SharedBudgetSettings(),
        reachability=reachability,
        rng=rng,
    )


def make_reachability(probe):
    """Return the reachability of nodes, whose changes nobody is told."""
    return Reachability(probe=probe, on_change=lambda node, reachable: None)
