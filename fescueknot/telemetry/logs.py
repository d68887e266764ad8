"""Configuration of ``logging``: one line per record, with a component prefix.

A logger named ``fescueknot.<component>`` and its child loggers write lines
that start with ``<component>:``.
"""

import logging
import time
import typing

from pythonjsonlogger.json import JsonFormatter

_PACKAGE_LOGGER = 'fescueknot'
_SERVER_LOGGER = 'waitress'
_PLAIN_FORMAT = '%(asctime)s.%(msecs)03dZ %(levelname)s %(message)s'
_TIME_FORMAT = '%Y-%m-%dT%H:%M:%S'
_JSON_FIELDS = ('asctime', 'levelname', 'message')


class ComponentPrefix(logging.Filter):
    """Prefixes each message with the name of its component."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the prefix to ``record`` and accept it."""
        prefix = f'{_component(record.name)}: '
        message = record.getMessage()
        if not message.startswith(prefix):
            message = f'{prefix}{message}'
        record.msg = message
        record.args = ()
        return True


class PlainFormatter(logging.Formatter):
    """Formats records as plain text, times in UTC, line breaks escaped."""

    def converter(self, seconds_s: float | None) -> time.struct_time:
        """Return the UTC time of ``seconds_s`` since the Unix epoch."""
        return time.gmtime(seconds_s)

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as one line."""
        text = super().format(record)
        return text.replace('\r', r'\r').replace('\n', r'\n')


def configure(
    *, level: str, as_json: bool, instance: str, stream: typing.TextIO
) -> None:
    """Send the logs of the package to ``stream``.

    ``level`` is the name of a level of ``logging`` in upper or lower case. A
    further call replaces the configuration.
    """
    handler = logging.StreamHandler(stream)
    handler.addFilter(ComponentPrefix())
    handler.setFormatter(
        _json_formatter(instance) if as_json else _plain_formatter()
    )
    _set_up_logger(handler, _PACKAGE_LOGGER, level.upper())
    # Waitress logs a warning for each queued request: log only its errors.
    _set_up_logger(handler, _SERVER_LOGGER, logging.ERROR)


def component_logger(component: str) -> logging.Logger:
    """Return the logger whose lines start with ``component`` and a colon."""
    return logging.getLogger(f'{_PACKAGE_LOGGER}.{component}')


def _set_up_logger(
    handler: logging.Handler, name: str, level: str | int
) -> None:
    logger = logging.getLogger(name)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)


def _plain_formatter() -> logging.Formatter:
    return PlainFormatter(_PLAIN_FORMAT, _TIME_FORMAT)


def _json_formatter(instance: str) -> logging.Formatter:
    return JsonFormatter(
        _JSON_FIELDS,
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'instance': instance},
    )


def _component(logger_name: str) -> str:
    relative_name = logger_name.removeprefix(f'{_PACKAGE_LOGGER}.')
    return relative_name.partition('.')[0]
