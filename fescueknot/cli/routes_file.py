"""Reads the operator's configuration from a file."""

import importlib
import pathlib
import re
import types
from collections.abc import Callable
from typing import Any, TypeVar

from fescueknot.cli.errors import BadInputError
from fescueknot.relay.adapter import Adapter, UnreadableError
from fescueknot.routes.findings import Inspection
from fescueknot.routes.messages import Configuration

# Platforms whose configuration can be read: module and name of the adapter, and
# of the function that reads a text with errors.
_ADAPTERS = types.MappingProxyType(
    {'platform': ('fescueknot.platform.main', 'PlatformAdapter')}
)
_INSPECTORS = types.MappingProxyType(
    {'platform': ('fescueknot.platform.inspection', 'inspect')}
)
_Read = TypeVar('_Read')
_BYTE_OFFSET = re.compile(r'\(byte (\d+)\)')


def read_configuration(path: str) -> Configuration:
    """Read a configuration; raise :class:`BadInputError` if it is invalid."""
    adapter: Adapter = _load(_ADAPTERS['platform'])()
    return _read(path, adapter.configuration)


def inspect_configuration(path: str) -> Inspection:
    """Read what is valid of a configuration, and report what is not.

    Raises :class:`BadInputError` if the file is not a JSON object.
    """
    return _read(path, _load(_INSPECTORS['platform']))


def _read(path: str, decode: Callable[[str], _Read]) -> _Read:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8-sig')
    except (OSError, UnicodeError) as error:
        raise BadInputError(f'{path}: {error}') from error
    try:
        return decode(text)
    except UnreadableError as error:
        location = _location(text, str(error))
        raise BadInputError(
            f'{path}{location}: {error}; fix: write the object "spec" of the '
            'configuration, as the store has it'
        ) from error


def _load(location: tuple[str, str]) -> Any:
    module, name = location
    return getattr(importlib.import_module(module), name)


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
