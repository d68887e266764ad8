"""Shares of the calls that may leave the failure domain, per service."""

import abc
import random

from fescueknot.identity import InstanceId
from fescueknot.relay.observer import Observer
from fescueknot.routing.domain_choice import DomainPreference, DomainShares
from fescueknot.routing.messages import CallResult, Pick, Tier
from fescueknot.routing.picker import TargetPicker
from fescueknot.routing.preference import LeastCost, Preference

# A share moves several times a second while the load changes.
_NOTED_CHANGE = 0.2
_NOTE_INTERVAL_S = 1.0


class _NotedShare:
    """The last share of a tier that was logged."""

    def __init__(self) -> None:
        self.share = float(0)
        self.noted_s = float('-inf')

    def is_of_note(self, share: float, now_s: float) -> bool:
        """Return whether a share differs enough from the last one logged."""
        if share == self.share or now_s - self.noted_s < _NOTE_INTERVAL_S:
            return False
        is_none = not (share and self.share)
        return is_none or abs(share - self.share) >= _NOTED_CHANGE


class Domains(abc.ABC):
    """Decides which calls leave the failure domain."""

    @abc.abstractmethod
    def preference(self, service: str, least_cost: LeastCost) -> Preference:
        """Return the preference of a call with its costs."""

    @abc.abstractmethod
    def is_foreign(self, pick: Pick, preference: Preference) -> bool:
        """Return whether a gate serves the calls of its own domain first."""

    @abc.abstractmethod
    def finished(
        self,
        service: str,
        picker: TargetPicker,
        instance: InstanceId,
        call_result: CallResult,
        now_s: float,
    ) -> None:
        """Record the end of a call to a target of the picker's subset."""


class FixedCosts(Domains):
    """Fixed costs and the expected wait decide for each call by itself."""

    def preference(self, service: str, least_cost: LeastCost) -> Preference:
        """Return the costs of the call."""
        return least_cost

    def is_foreign(self, pick: Pick, preference: Preference) -> bool:
        """Return false: gates make no difference."""
        return False

    def finished(
        self,
        service: str,
        picker: TargetPicker,
        instance: InstanceId,
        call_result: CallResult,
        now_s: float,
    ) -> None:
        """Ignore the end of a call."""


class ServiceDomains(Domains):
    """Keeps the shares of each service and logs their changes."""

    def __init__(self, *, observer: Observer, rng: random.Random) -> None:
        self._observer = observer
        self._rng = rng
        self._shares: dict[str, DomainShares] = {}
        self._noted: dict[tuple[str, Tier], _NotedShare] = {}

    def preference(self, service: str, least_cost: LeastCost) -> Preference:
        """Return the preference of a call with its costs."""
        return DomainPreference(
            least_cost=least_cost,
            shares=self._shares_of(service),
            rng=self._rng,
        )

    def is_foreign(self, pick: Pick, preference: Preference) -> bool:
        """Return whether the shares have sent a call outside."""
        is_adaptive = (
            isinstance(preference, DomainPreference) and preference.is_adaptive
        )
        return is_adaptive and pick.tier > Tier.FAILURE_DOMAIN

    def finished(
        self,
        service: str,
        picker: TargetPicker,
        instance: InstanceId,
        call_result: CallResult,
        now_s: float,
    ) -> None:
        """Record the end of a call to a target of the picker's subset."""
        tier = picker.tier(instance)
        if tier is None:
            return
        shares = self._shares_of(service)
        shares.finished(tier, call_result, now_s)
        for outside, share in shares.by_tier.items():
            self._note_change(service, outside, share.share, now_s)

    def _shares_of(self, service: str) -> DomainShares:
        shares = self._shares.get(service)
        if shares is None:
            shares = DomainShares()
            self._shares[service] = shares
        return shares

    def _note_change(
        self, service: str, tier: Tier, share: float, now_s: float
    ) -> None:
        noted = self._noted.get((service, tier))
        if noted is None:
            noted = _NotedShare()
            self._noted[service, tier] = noted
        if noted.is_of_note(share, now_s):
            noted.share = share
            noted.noted_s = now_s
            self._observer.note(
                'domain.share',
                service=service,
                tier=tier.name.lower(),
                share=round(share, 2),
            )
