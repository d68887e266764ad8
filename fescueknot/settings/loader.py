"""Reads a settings file and validates it as a whole.

All problems are reported at once; an invalid file gives no settings.
"""

import json
import pathlib

import msgspec

from fescueknot.settings import checker, consistency
from fescueknot.settings.errors import Problem, SettingsError
from fescueknot.settings.model import NodeSettings

_WHOLE_FILE = 'the file'


class _RepeatedFieldError(ValueError):
    """A JSON object has a field twice."""


def load_settings(path: str) -> NodeSettings:
    """Return the settings in the JSON file at ``path``.

    Raise :class:`SettingsError`, which lists all problems.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise _settings_error(
            path, f"can't be read: {error.strerror}"
        ) from error
    except UnicodeDecodeError as error:
        raise _settings_error(path, 'is not UTF-8 text') from error
    return parse_settings(text, source=path)


def parse_settings(text: str, *, source: str) -> NodeSettings:
    """Return the settings in the JSON ``text``.

    ``source`` names the origin of the text in errors.
    Raise :class:`SettingsError`, which lists all problems.
    """
    document = _decode(text, source)
    problems = sorted(checker.check(document, NodeSettings))
    if problems:
        raise SettingsError(source=source, problems=tuple(problems))
    settings = msgspec.convert(document, NodeSettings)
    contradictions = tuple(
        problem for check in consistency.CHECKS for problem in check(settings)
    )
    if contradictions:
        raise SettingsError(source=source, problems=contradictions)
    return settings


def _decode(text: str, source: str) -> object:
    try:
        return json.loads(text, object_pairs_hook=_unique_fields)
    except json.JSONDecodeError as error:
        position = f'line {error.lineno}, column {error.colno}'
        reason = f'is not JSON: {error.msg} at {position}'
        raise _settings_error(source, reason) from error
    except _RepeatedFieldError as error:
        problem = Problem(field=str(error), reason='is given twice')
        raise SettingsError(source=source, problems=(problem,)) from error
    except RecursionError as error:
        raise _settings_error(source, 'is nested too deeply') from error


def _unique_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    fields: dict[str, object] = {}
    for name, member_value in pairs:
        if name in fields:
            raise _RepeatedFieldError(name)
        fields[name] = member_value
    return fields


def _settings_error(source: str, reason: str) -> SettingsError:
    problem = Problem(field=_WHOLE_FILE, reason=reason)
    return SettingsError(source=source, problems=(problem,))
