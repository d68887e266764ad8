"""Reads the operator's configuration from a file."""

import importlib
import pathlib
import re
import types

from fescueknot.cli.errors import BadInputError
from fescueknot.relay.adapter import Adapter, UnreadableError
from fescueknot.routes.messages import Configuration

# Platforms whose configuration can be read: module and class of the adapter.
_ADAPTERS = types.MappingProxyType(
    {'platform': ('fescueknot.platform.main', 'PlatformAdapter')}
)
_BYTE_OFFSET = re.compile(r'\(byte (\d+)\)')


def read_configuration(path: str) -> Configuration:
    """Read a configuration; raise :class:`BadInputError` if it is invalid."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8-sig')
    except (OSError, UnicodeError) as error:
        raise BadInputError(f'{path}: {error}') from error
    try:
        return _adapter('platform').configuration(text)
    except UnreadableError as error:
        location = _location(text, str(error))
        raise BadInputError(
            f'{path}{location}: {error}; fix: write the object "spec" of the '
            'configuration, as the store has it'
        ) from error


def _adapter(name: str) -> Adapter:
    module, class_name = _ADAPTERS[name]
    return getattr(importlib.import_module(module), class_name)()


def _location(text: str, problem: str) -> str:
    """Return ``:line:column`` of a problem, from its byte offset.

    Empty if the text of the problem states no offset.
    """
    match = _BYTE_OFFSET.search(problem)
    if match is None:
        return ''
    end = int(match.group(1))
    before = text.encode()[:end].decode(errors='replace')
    lines = before.split('\n')
    return f':{len(lines)}:{len(lines[-1]) + 1}'
