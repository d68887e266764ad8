"""All checks of a configuration before it is sent, as tables."""

from collections.abc import Iterator

from fescueknot.routes import (
    account_checks,
    change_checks,
    limit_checks,
    route_checks,
)
from fescueknot.routes.findings import Finding
from fescueknot.routes.messages import Configuration

_CHECKS = (
    account_checks.AccountConflicts(),
    account_checks.SimilarNames(),
    account_checks.WithoutKeys(),
    route_checks.DefinedTwice(),
    route_checks.SameName(),
    route_checks.NeverMatched(),
    route_checks.ServiceMissing(),
    route_checks.ServiceTwice(),
    route_checks.ServiceUnused(),
    route_checks.SplitWeights(),
    route_checks.OnceWithinRepeatable(),
    limit_checks.AccountBurst(),
    limit_checks.ObjectiveWithinTimeout(),
    limit_checks.IdleBelowHead(),
    limit_checks.BodyBelowHead(),
)
_CHANGE_CHECKS = (
    change_checks.VersionRaised(),
    change_checks.NewlyRepeatable(),
    change_checks.AccountsDropped(),
    change_checks.LimitHalved(),
)


def find_problems(
    configuration: Configuration, *, has_all_entries: bool = True
) -> Iterator[Finding]:
    """Yield the probable mistakes in one configuration.

    Without ``has_all_entries`` some of its entries could not be read.
    """
    for check in _CHECKS:
        if has_all_entries or not check.needs_all_entries:
            yield from check.findings(configuration)


def find_change_problems(
    before: Configuration, after: Configuration
) -> Iterator[Finding]:
    """Yield the probable mistakes in a change of the configuration."""
    for check in _CHANGE_CHECKS:
        yield from check.findings(before, after)
