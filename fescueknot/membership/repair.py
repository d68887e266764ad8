"""Repair: anti-entropy between the catalogs of two nodes.

Two nodes whose catalogs differ compare the digests of their trees level by
level and send each other the announcements of a leaf that differs. No state
is kept between the messages.
"""

import random

from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.digests import DEPTH, FANOUT, has_children
from fescueknot.membership.rumours import size_bytes
from fescueknot.membership.view import LocalView

MAX_LEAF_BYTES = 1100
REPAIR_PERIOD_S = 1.0


class Repair:
    """Local side of all comparisons of digest trees."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._tree = view.catalog.index.tree
        self._started_at_s = -REPAIR_PERIOD_S

    def start(self, *, now_s: float) -> tuple[wire.AnyMessage, ...]:
        """Start a comparison, at most one in :data:`REPAIR_PERIOD_S`."""
        if now_s - self._started_at_s < REPAIR_PERIOD_S:
            return ()
        self._started_at_s = now_s
        return (self._digests_of_children(0, 0),)

    def compare_digests(
        self, message: wire.TreeDigests, *, rng: random.Random
    ) -> tuple[wire.AnyMessage, ...]:
        """Go one level down at a random child whose digests differ."""
        if not has_children(message.level, message.index):
            return ()
        local = self._tree.children(message.level, message.index)
        pairs = zip(local, message.digests, strict=False)
        differing = [
            child
            for child, (local_digest, remote_digest) in enumerate(pairs)
            if local_digest != remote_digest
        ]
        if not differing:
            return ()
        level = message.level + 1
        index = message.index * FANOUT + rng.choice(differing)
        if level < DEPTH:
            return (self._digests_of_children(level, index),)
        return (
            self._leaf(index, self._view.catalog.leaf(index), wants_reply=True),
        )

    def apply_leaf(
        self, message: wire.LeafAnnouncements, *, now_s: float
    ) -> tuple[wire.AnyMessage, ...]:
        """Apply the announcements of a leaf.

        If the sender wants a reply, return the announcements of the local
        leaf that the message lacks.
        """
        self._view.merge_all(message.news, now_s=now_s)
        local = self._view.catalog.leaf(message.index)
        newer = tuple(
            announcement
            for announcement in local
            if announcement not in message.news
        )
        if not message.wants_reply or not newer:
            return ()
        return (self._leaf(message.index, newer, wants_reply=False),)

    def _digests_of_children(self, level: int, index: int) -> wire.TreeDigests:
        return wire.TreeDigests(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            level=level,
            index=index,
            digests=self._tree.children(level, index),
        )

    def _leaf(
        self,
        index: int,
        announcements: tuple[Announcement, ...],
        *,
        wants_reply: bool,
    ) -> wire.LeafAnnouncements:
        return wire.LeafAnnouncements(
            name=self._view.own.name,
            incarnation=self._view.own.incarnation,
            index=index,
            news=_fitting(announcements),
            wants_reply=wants_reply,
        )


def _fitting(
    announcements: tuple[Announcement, ...],
) -> tuple[Announcement, ...]:
    fitting = []
    total_bytes = 0
    for announcement in announcements:
        total_bytes += size_bytes(announcement)
        if total_bytes > MAX_LEAF_BYTES:
            break
        fitting.append(announcement)
    return tuple(fitting)
