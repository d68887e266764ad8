"""Publishing what the core knows on the board."""

import random

from fescueknot.membership.core import MembershipCore
from fescueknot.membership.published import (
    MembershipStatus,
    PublishedMembership,
)
from fescueknot.membership.readers import ReadMode
from fescueknot.membership.schedule import TICK_PERIOD_S


class Publisher:
    """Copies changes of the core to the board."""

    def __init__(
        self, *, core: MembershipCore, published: PublishedMembership
    ) -> None:
        self._core = core
        self._published = published

    def publish(self, *, now_s: float, read_mode: ReadMode) -> None:
        """Post changed services and documents, then the standing."""
        changes = self._core.view.pop_changes()
        for service in changes.services:
            self._published.post_service(service, self._core.instances(service))
        if changes.documents:
            self._published.post_documents(tuple(changes.documents))
        view = self._core.view
        self._published.status = MembershipStatus(
            own=view.own,
            read_mode=read_mode,
            cursor=view.documents.cursor,
            held=view.documents.held,
            current_at_s=now_s - view.evidence.age_s(now_s),
            present_count=view.catalog.present_count,
            is_superseded=view.is_superseded,
        )

    def read_mode(self, *, now_s: float, rng: random.Random) -> ReadMode:
        """Return whether the node reads the store until the next tick."""
        return self._core.reader_choice.read_mode(
            now_s=now_s, elapsed_s=TICK_PERIOD_S, rng=rng
        )
