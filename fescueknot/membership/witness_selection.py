"""Casework: whom to ask about an instance that doesn't answer."""

import random

from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.view import LocalView

DENIALS_NEEDED = 2
WITNESSES_PER_GROUP = 2


def inquiries(
    view: LocalView, target: Announcement, rng: random.Random
) -> list[wire.Outgoing]:
    """Return a probe of ``target`` and calls to some witnesses.

    Witnesses stand in the failure domain of the target and in the own one.
    """
    own = view.own
    call = wire.WitnessCall(
        name=own.name,
        incarnation=own.incarnation,
        target=target.name,
        target_incarnation=target.incarnation,
    )
    probe = wire.Probe(name=own.name, incarnation=own.incarnation, nonce=0)
    sent = [wire.Outgoing(target=target.gossip, message=probe)]
    sent.extend(
        wire.Outgoing(target=witness.gossip, message=call)
        for witness in _witnesses(view, target, rng)
    )
    return sent


def is_near(
    view: LocalView, *, target: Announcement, witness: Announcement
) -> bool:
    """Return whether a witness stands close enough to the target.

    An instance without others in its failure domain has its region for that.
    """
    if _has_neighbours(view, target):
        return witness.place == target.place
    return witness.region == target.region


def denials_needed(view: LocalView) -> int:
    """Return how many witnesses must agree, fewer when there are so few."""
    others = view.catalog.present_count - 2
    return max(1, min(DENIALS_NEEDED, others))


def _has_neighbours(view: LocalView, target: Announcement) -> bool:
    """Return whether somebody else near the target could be asked."""
    is_own = target.place == view.own.place
    return len(view.catalog.places[target.place]) > 1 + is_own


def _witnesses(
    view: LocalView, target: Announcement, rng: random.Random
) -> tuple[Announcement, ...]:
    places = view.catalog.places
    rings = [places[view.own.place], places[target.place]]
    if not _has_neighbours(view, target):
        rings.extend(
            ring
            for place, ring in places.items()
            if place.region == target.region
        )
    names = {
        ring[rng.randrange(len(ring))]
        for ring in rings * WITNESSES_PER_GROUP
        if ring
    }
    strangers = names - {target.name, view.own.name}
    return view.catalog.resolve(sorted(strangers))
