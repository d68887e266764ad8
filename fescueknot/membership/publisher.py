"""Publication of the core's state for other threads."""

import random

from fescueknot.membership.board import MembershipBoard, Standing
from fescueknot.membership.core import MembershipCore
from fescueknot.membership.readers import ReaderDuty
from fescueknot.membership.schedule import TICK_PERIOD_S


class Publisher:
    """Copies changes of the core to the published state."""

    def __init__(self, *, core: MembershipCore, board: MembershipBoard) -> None:
        self._core = core
        self._board = board

    def publish(self, *, now_s: float, duty: ReaderDuty) -> None:
        """Publish changed services and documents, then the status."""
        changes = self._core.view.take_changes()
        for service in changes.services:
            self._board.post_service(service, self._core.instances(service))
        if changes.documents:
            self._board.post_documents(tuple(changes.documents))
        view = self._core.view
        self._board.standing = Standing(
            own=view.own,
            duty=duty,
            cursor=view.documents.cursor,
            held=view.documents.held,
            current_at_s=now_s - view.evidence.age_s(now_s),
            present_count=view.catalog.present_count,
            is_superseded=view.is_superseded,
        )

    def duty(self, *, now_s: float, rng: random.Random) -> ReaderDuty:
        """Return how the node reads the store until the next tick."""
        return self._core.reader_choice.duty(
            now_s=now_s, elapsed_s=TICK_PERIOD_S, rng=rng
        )
