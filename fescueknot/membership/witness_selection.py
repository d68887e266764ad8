"""Selection of the witnesses that probe an instance that doesn't answer."""

import random

from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.view import LocalView

FAILURE_REPORTS_NEEDED = 2
WITNESSES_PER_GROUP = 2


def witness_requests(
    view: LocalView, target: Announcement, rng: random.Random
) -> list[wire.Outgoing]:
    """Return a probe of ``target`` and requests to witnesses to probe it.

    Witnesses are picked from the failure domain of the target and from the
    local failure domain.
    """
    own = view.own
    request = wire.WitnessRequest(
        name=own.name,
        incarnation=own.incarnation,
        target=target.name,
        target_incarnation=target.incarnation,
    )
    probe = wire.Probe(name=own.name, incarnation=own.incarnation, nonce=0)
    messages = [wire.Outgoing(target=target.gossip, message=probe)]
    messages.extend(
        wire.Outgoing(target=witness.gossip, message=request)
        for witness in _witnesses(view, target, rng)
    )
    return messages


def is_near(
    view: LocalView, *, target: Announcement, witness: Announcement
) -> bool:
    """Return whether a witness is in the failure domain of the target.

    If the target's failure domain has no possible witness, a witness in the
    target's region counts as near.
    """
    if _has_neighbours(view, target):
        return witness.place == target.place
    return witness.region == target.region


def failure_reports_needed(view: LocalView) -> int:
    """Return how many failure reports are needed, fewer in small fleets."""
    witness_count = view.catalog.present_count - 2
    return max(1, min(FAILURE_REPORTS_NEEDED, witness_count))


def _has_neighbours(view: LocalView, target: Announcement) -> bool:
    """Return whether the target's failure domain has a possible witness."""
    is_local_place = target.place == view.own.place
    return len(view.catalog.places[target.place]) > 1 + is_local_place


def _witnesses(
    view: LocalView, target: Announcement, rng: random.Random
) -> tuple[Announcement, ...]:
    places = view.catalog.places
    candidate_rings = [places[view.own.place], places[target.place]]
    if not _has_neighbours(view, target):
        candidate_rings.extend(
            ring
            for place, ring in places.items()
            if place.region == target.region
        )
    candidate_names = {
        ring[rng.randrange(len(ring))]
        for ring in candidate_rings * WITNESSES_PER_GROUP
        if ring
    }
    witness_names = candidate_names - {target.name, view.own.name}
    return view.catalog.resolve(sorted(witness_names))
