"""Selectors: the service, methods and path pattern of a rule."""

import re

import msgspec

from fescueknot.rules import paths
from fescueknot.rules.errors import BadField

ANY = '*'
_SERVICE_NAME = re.compile('[a-z0-9]([a-z0-9-]*[a-z0-9])?')
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


class Selector(msgspec.Struct, frozen=True, kw_only=True):
    """The calls that a rule matches; ``methods`` is ``('*',)`` for all."""

    service: str
    methods: tuple[str, ...]
    segments: tuple[str, ...]

    def __str__(self) -> str:
        """Return the selector as it is written in a rules file."""
        methods = ','.join(self.methods)
        path = '/'.join(self.segments)
        return f'{self.service} {methods} /{path}'

    def covers(self, other: 'Selector') -> bool:
        """Return whether this selector matches all calls ``other`` matches."""
        if not self._covers_service(other):
            return False
        if not self._covers_methods(other):
            return False
        return paths.covers(self.segments, other.segments)

    def _covers_service(self, other: 'Selector') -> bool:
        return self.service in {ANY, other.service}

    def _covers_methods(self, other: 'Selector') -> bool:
        own_methods = set(self.methods)
        return ANY in own_methods or own_methods.issuperset(other.methods)


def parse_service(text: str) -> str:
    """Return a valid service name or ``*``; raise ``BadField``."""
    if text == ANY or _SERVICE_NAME.fullmatch(text):
        return text
    raise BadField(
        f'{text!r} is not a service name',
        fix='use lower case letters, digits and -, or * for all services',
    )


def parse_methods(text: str) -> tuple[str, ...]:
    """Return the methods in a list such as ``GET,HEAD``; raise ``BadField``."""
    if text == ANY:
        return (ANY,)
    methods = tuple(text.split(','))
    for method in methods:
        if method not in METHODS:
            raise BadField(
                f'{method!r} is not a supported method',
                fix=f'use * or a list of {", ".join(METHODS)}',
            )
    return methods
