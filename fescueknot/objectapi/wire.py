"""Paths, headers and statuses of the object API over HTTP with JSON.

| call | request | condition |
| --- | --- | --- |
| get | ``GET /objects/<key>`` | |
| list | ``GET /objects?prefix=`` | |
| create | ``PUT /objects/<key>`` | ``If-None-Match: *`` |
| update | ``PUT /objects/<key>`` | ``If-Match: "<version>"`` |
| delete | ``DELETE /objects/<key>`` | ``If-Match: "<version>"`` |
| watch | ``GET /watch?prefix=&since=&timeout_s=`` | |
"""

import types

import msgspec

from fescueknot.objectapi import errors

OBJECTS_PATH = '/objects'
WATCH_PATH = '/watch'
FAULTS_PATH = '/control/faults'
COUNTERS_PATH = '/control/counters'
COMPACT_PATH = '/control/compact'

IF_MATCH = 'If-Match'
IF_NONE_MATCH = 'If-None-Match'
RETRY_AFTER = 'Retry-After'
ANY_VERSION = '*'

STATUS_BY_ERROR = types.MappingProxyType(
    {
        errors.NotFound: 404,
        errors.Compacted: 410,
        errors.Conflict: 412,
        errors.TooLarge: 413,
        errors.RateLimited: 429,
        errors.Unavailable: 503,
    }
)

ERROR_BY_STATUS = types.MappingProxyType(
    {status: error for error, status in STATUS_BY_ERROR.items()}
)


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error response: problem details (RFC 9457)."""

    title: str
    status: int
    detail: str = ''


def entity_tag(version: int) -> str:
    """Return the entity tag of a version."""
    return f'"{version}"'


def tagged_version(tag: str) -> int:
    """Return the version of an entity tag; raise ``ValueError``."""
    return int(tag.strip('"'))
