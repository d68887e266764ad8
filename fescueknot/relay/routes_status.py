"""Which version of the routes a node has in force, and how current it is."""

import math

from fescueknot.clock import elapsed_s
from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.relay.observer import Observer
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory

_AGE_DIGITS = 2


class RoutesStatus:
    """Tells how current the routes are; logs when that is lost and regained.

    ``max_age_s`` is the age up to which evidence is fresh. ``is_following``
    is true while this node follows the store.
    """

    def __init__(
        self,
        *,
        max_age_s: float,
        evidence: FreshnessEvidence,
        routes: RoutesInForce,
        directory: TargetDirectory,
        observer: Observer,
    ) -> None:
        self.is_following = False
        self._max_age_s = max_age_s
        self._evidence = evidence
        self._routes = routes
        self._directory = directory
        self._observer = observer
        self._newest_heard = 0
        self._was_confirmed = True

    @property
    def newest_heard(self) -> int:
        """Return the newest version of the routes that this node knows of."""
        return max(self._routes.version, self._newest_heard)

    def record_heard(self, version: int) -> None:
        """Record that another node has a version in force."""
        self._newest_heard = max(self._newest_heard, version)

    def age_s(self) -> float:
        """Return the age of the evidence that the routes are current.

        Infinite until there is evidence.
        """
        return self._evidence.age_s(elapsed_s())

    def is_confirmed(self) -> bool:
        """Return whether the evidence is fresh; log it if that has changed."""
        age_s = self.age_s()
        is_confirmed = age_s <= self._max_age_s
        if is_confirmed != self._was_confirmed:
            self._was_confirmed = is_confirmed
            self._observer.note(
                'routes.confirmed' if is_confirmed else 'routes.unconfirmed',
                age_s=None if math.isinf(age_s) else round(age_s, _AGE_DIGITS),
                version=self._routes.version,
                heard=self.newest_heard,
                following=self.is_following,
                known=len(self._directory),
            )
        return is_confirmed
