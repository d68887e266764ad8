"""Findings about a configuration, and the base of the checks that make them."""

import abc
from collections.abc import Iterator

import msgspec

from fescueknot.routes.messages import Configuration, Route


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """Probable mistake in a configuration.

    ``check`` names the check for programs, ``place`` the entry or field.
    """

    check: str
    place: str
    problem: str
    fix: str


class Inspection(msgspec.Struct, frozen=True, kw_only=True):
    """What was read from the text of a configuration.

    Nodes reject a text with ``errors``; then ``configuration`` has the entries
    without errors, and version 0 if the version is one. ``hints`` are about
    content that nodes ignore.
    """

    configuration: Configuration
    errors: tuple[Finding, ...] = ()
    hints: tuple[Finding, ...] = ()


class Check(abc.ABC):
    """Base of the checks; each looks for one kind of mistake.

    ``name`` identifies it in the output for programs.
    """

    name: str

    def _finding(self, place: str, problem: str, fix: str) -> Finding:
        return Finding(check=self.name, place=place, problem=problem, fix=fix)


class ConfigurationCheck(Check):
    """Looks for one kind of mistake in a configuration.

    A check that ``needs_all_entries`` would report an entry because of others
    that could not be read.
    """

    needs_all_entries = False

    @abc.abstractmethod
    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Yield the mistakes."""


class ChangeCheck(Check):
    """Looks for one kind of mistake in a change of the configuration."""

    @abc.abstractmethod
    def findings(
        self, before: Configuration, after: Configuration
    ) -> Iterator[Finding]:
        """Yield the mistakes."""


def place_of(route: Route) -> str:
    """Return the host and path prefix of a route."""
    return f'{route.host}{route.path_prefix}'


def account_place(name: str) -> str:
    """Return the place of an account."""
    return f'account "{name}"'
